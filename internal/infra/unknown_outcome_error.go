package infra

import "fmt"

// UnknownOutcomeError reports that the response to a request was lost. The
// platform may have carried out the request.
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
