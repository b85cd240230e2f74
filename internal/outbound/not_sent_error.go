package outbound

import "fmt"

// NotSentError reports that no byte of an exchange reached the endpoint, nor will.
type NotSentError struct {
	Blame Blame
	Err   error
}

// Error implements error.
func (e *NotSentError) Error() string { return fmt.Sprintf("not sent (%s): %v", e.Blame, e.Err) }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Err }
