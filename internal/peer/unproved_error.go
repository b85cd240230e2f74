package peer

import "fmt"

// UnprovedError says that the other side does not hold the secret, or speaks
// another version of the protocol.
type UnprovedError struct {
	Version int
}

// Error implements error.
func (e *UnprovedError) Error() string {
	return fmt.Sprintf("peer of protocol version %d did not prove that it holds the secret", e.Version)
}
