package exchange

import "fmt"

// BrokenError reports that the request may have run but that its answer is
// incomplete or unusable.
type BrokenError struct {
	Reason BreakReason
	Err    error
}

// Error implements error.
func (e *BrokenError) Error() string { return fmt.Sprintf("answer %s: %v", e.Reason, e.Err) }

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Err }
