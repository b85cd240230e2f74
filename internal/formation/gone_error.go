package formation

import "fmt"

// GoneError reports that the incarnation of an endpoint to which a call was
// addressed no longer exists: nothing listens at its address, or another
// incarnation or endpoint does.
type GoneError struct {
	// Refused states that the connection was refused. That shows nothing if this daemon is cut off
	// from all endpoints.
	Refused bool
	Err     error
}

// Error implements error.
func (e *GoneError) Error() string { return fmt.Sprintf("endpoint no longer exists: %v", e.Err) }

// Unwrap returns the cause.
func (e *GoneError) Unwrap() error { return e.Err }
