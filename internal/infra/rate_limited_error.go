package infra

import (
	"fmt"
	"time"
)

// RateLimitedError reports that the log rejected an append because the append
// rate was exceeded. Nothing was appended.
type RateLimitedError struct {
	RetryAfter time.Duration
}

// Error implements error.
func (e *RateLimitedError) Error() string {
	return fmt.Sprintf("log append rate exceeded, retry after %s", e.RetryAfter)
}
