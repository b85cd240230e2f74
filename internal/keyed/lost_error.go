package keyed

import "fmt"

// LostError reports that a call got no valid answer, so that its outcome is unknown: the
// store may have executed it, or may still do so.
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
