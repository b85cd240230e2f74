package exchange

import "fmt"

// BrokenError says that the request may have run and that its answer is not
// whole.
type BrokenError struct {
	Reason BreakReason
	Err    error
}

// Error implements error.
func (e *BrokenError) Error() string { return fmt.Sprintf("answer %s: %v", e.Reason, e.Err) }

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Err }
