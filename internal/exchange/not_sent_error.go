package exchange

import "fmt"

// NotSentError reports that no byte of the request reached the endpoint.
type NotSentError struct{ Err error }

// Error implements error.
func (e *NotSentError) Error() string { return fmt.Sprintf("not sent: %v", e.Err) }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Err }
