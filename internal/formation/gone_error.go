package formation

import "fmt"

// GoneError says that the life of an endpoint that an order was meant for is
// over: nothing listens at its address, or another one does.
type GoneError struct{ Err error }

// Error implements error.
func (e *GoneError) Error() string { return fmt.Sprintf("endpoint is gone: %v", e.Err) }

// Unwrap returns the cause.
func (e *GoneError) Unwrap() error { return e.Err }
