package infra

import "fmt"

// UnavailableError reports that a request to the platform failed without effect.
type UnavailableError struct {
	Operation string
	Err       error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("platform unavailable: %s: %v", e.Operation, e.Err)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }
