package relay

import (
	"fmt"
	"time"

	"github.com/plantainmux/plantainmux/internal/retry"
)

// StalledError reports that an attempt received no frame within the time limit.
type StalledError struct {
	Attempt string
	Silence time.Duration
}

// Error implements error.
func (e *StalledError) Error() string {
	return fmt.Sprintf("attempt %s: no frame for %s", e.Attempt, e.Silence)
}

// RetryReason returns the reason of the retry that follows.
func (e *StalledError) RetryReason() retry.Reason { return retry.Stalled }
