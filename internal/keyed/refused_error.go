package keyed

import "fmt"

// RefusedError says that the store refused a call and did nothing.
type RefusedError struct {
	Call   string
	Status int // HTTP status; 0 when no connection came about
	Err    error
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("store refused %s with status %d: %v", e.Call, e.Status, e.Err)
}

// Unwrap returns the cause.
func (e *RefusedError) Unwrap() error { return e.Err }
