package relay

import "fmt"

// SinkError says that the answer could not be passed on to the caller.
type SinkError struct {
	Err error
}

// Error implements error.
func (e *SinkError) Error() string {
	return fmt.Sprintf("answer not passed on: %v", e.Err)
}

// Unwrap returns the cause.
func (e *SinkError) Unwrap() error { return e.Err }
