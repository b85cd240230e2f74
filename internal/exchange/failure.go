package exchange

import (
	"fmt"
	"time"
)

// Failure is why a request has no whole answer.
type Failure struct {
	Reason     Reason
	NotRun     bool          // the request has not run and will not
	Begun      bool          // a part of the answer has reached the caller
	RetryAfter time.Duration // when to come back, if it has not run
	Cause      error
}

// Error implements error.
func (f *Failure) Error() string {
	return fmt.Sprintf("request failed: %s: %v", f.Reason, f.Cause)
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Cause }
