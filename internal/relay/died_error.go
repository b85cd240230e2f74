package relay

import (
	"fmt"

	"github.com/plantainmux/plantainmux/internal/retry"
)

// DiedError reports that an endpoint lost an attempt because its process ended.
type DiedError struct {
	Attempt string
	Err     error
}

// Error implements error.
func (e *DiedError) Error() string {
	return fmt.Sprintf("attempt %s: the endpoint process ended: %v", e.Attempt, e.Err)
}

// Unwrap returns the cause.
func (e *DiedError) Unwrap() error { return e.Err }

// RetryReason returns the reason of the retry that follows.
func (e *DiedError) RetryReason() retry.Reason { return retry.Died }
