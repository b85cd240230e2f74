package peer

import "fmt"

// HandshakeError says that a handshake broke off.
type HandshakeError struct {
	Step string
	Err  error
}

// Error implements error.
func (e *HandshakeError) Error() string {
	return fmt.Sprintf("handshake: %s: %v", e.Step, e.Err)
}

// Unwrap returns the cause.
func (e *HandshakeError) Unwrap() error { return e.Err }
