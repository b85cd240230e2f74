package platform

import (
	"fmt"
	"time"
)

// UnavailableError says that the platform took no action on a call.
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

// ExpiredError says that a read starts below the oldest retained record.
type ExpiredError struct {
	Stream string
	From   Offset
	Oldest Offset
}

// Error implements error.
func (e *ExpiredError) Error() string {
	return fmt.Sprintf("stream %s: offset %d expired, oldest is %d", e.Stream, e.From, e.Oldest)
}

// RateLimitedError says that the log takes no more appends for now. Nothing was
// appended.
type RateLimitedError struct {
	RetryAfter time.Duration
}

// Error implements error.
func (e *RateLimitedError) Error() string {
	return fmt.Sprintf("log append rate exceeded, retry after %s", e.RetryAfter)
}
