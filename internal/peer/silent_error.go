package peer

import (
	"fmt"
	"time"
)

// SilentError says that a link brought no frame for too long.
type SilentError struct {
	Silence time.Duration
}

// Error implements error.
func (e *SilentError) Error() string {
	return fmt.Sprintf("no frame for %s", e.Silence)
}
