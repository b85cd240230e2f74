package relay

import (
	"fmt"

	"github.com/plantainmux/plantainmux/internal/retry"
)

// RecalledError says that an attempt was given up before its first frame, since
// an equal request was in progress on a group that died.
type RecalledError struct {
	Attempt string
}

// Error implements error.
func (e *RecalledError) Error() string {
	return fmt.Sprintf("attempt %s: recalled, its request became a suspect", e.Attempt)
}

// RetryReason returns the reason of the retry that follows.
func (e *RecalledError) RetryReason() retry.Reason { return retry.Recalled }
