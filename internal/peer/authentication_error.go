package peer

import "fmt"

// AuthenticationError reports that the other side did not prove that it holds
// the secret, or uses another protocol version.
type AuthenticationError struct {
	Version int
}

// Error implements error.
func (e *AuthenticationError) Error() string {
	return fmt.Sprintf("peer of protocol version %d did not prove that it holds the secret", e.Version)
}
