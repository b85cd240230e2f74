package peer

import (
	"fmt"
	"time"
)

// SilentError reports that a link received no frame, or that a write on it was
// blocked, for longer than the silence timeout.
type SilentError struct {
	Silence time.Duration
}

// Error implements error.
func (e *SilentError) Error() string {
	return fmt.Sprintf("no frame for %s", e.Silence)
}
