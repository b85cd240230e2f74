package relay

import "fmt"

// SinkError reports that the answer could not be sent to the caller.
type SinkError struct {
	Err error
}

// Error implements error.
func (e *SinkError) Error() string {
	return fmt.Sprintf("answer not sent to the caller: %v", e.Err)
}

// Unwrap returns the cause.
func (e *SinkError) Unwrap() error { return e.Err }
