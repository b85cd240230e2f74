package keyed

import "fmt"

// RefusedError reports that the store rejected a call or could not be connected to, so
// that the call had no effect.
type RefusedError struct {
	Call   string
	Status int // HTTP status; 0 if no connection was established
	Err    error
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("store refused %s with status %d: %v", e.Call, e.Status, e.Err)
}

// Unwrap returns the cause.
func (e *RefusedError) Unwrap() error { return e.Err }
