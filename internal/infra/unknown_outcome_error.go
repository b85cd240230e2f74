package infra

import "fmt"

// UnknownOutcomeError says that the answer of a call was lost: the platform may
// have acted on it.
type UnknownOutcomeError struct {
	Operation string
	Err       error
}

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("platform outcome unknown: %s: %v", e.Operation, e.Err)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Err }
