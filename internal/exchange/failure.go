package exchange

import (
	"fmt"
	"time"
)

// Failure describes why a request has no complete answer.
type Failure struct {
	Reason     Reason
	NotRun     bool          // the request has not run and will not run
	Begun      bool          // part of the answer has been sent to the caller
	RetryAfter time.Duration // delay after which the caller may retry, if the request has not run
	Cause      error
}

// Error implements error.
func (f *Failure) Error() string {
	return fmt.Sprintf("request failed: %s: %v", f.Reason, f.Cause)
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Cause }
