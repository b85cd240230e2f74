package keyed

import "fmt"

// LostError says that a call got no readable answer: the store may have acted
// on it, or may do so later.
type LostError struct {
	Call string
	Err  error
}

// Error implements error.
func (e *LostError) Error() string {
	return fmt.Sprintf("store gave no answer to %s: %v", e.Call, e.Err)
}

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Err }
