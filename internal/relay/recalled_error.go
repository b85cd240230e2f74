package relay

import (
	"fmt"

	"github.com/plantainmux/plantainmux/internal/retry"
)

// RecalledError reports that an attempt was cancelled before its first frame because
// an equal request was in progress on a group that crashed.
type RecalledError struct {
	Attempt string
}

// Error implements error.
func (e *RecalledError) Error() string {
	return fmt.Sprintf("attempt %s: recalled because its request became a crash suspect", e.Attempt)
}

// RetryReason returns the reason of the retry that follows.
func (e *RecalledError) RetryReason() retry.Reason { return retry.Recalled }
