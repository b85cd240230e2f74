package infra

import (
	"fmt"
	"time"
)

// RateLimitedError says that the log takes no more appends for now. Nothing was
// appended.
type RateLimitedError struct {
	RetryAfter time.Duration
}

// Error implements error.
func (e *RateLimitedError) Error() string {
	return fmt.Sprintf("log append rate exceeded, retry after %s", e.RetryAfter)
}
