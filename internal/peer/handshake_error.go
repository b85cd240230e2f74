package peer

import "fmt"

// HandshakeError reports the step at which a handshake failed.
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
