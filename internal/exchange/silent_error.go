package exchange

import (
	"fmt"
	"time"
)

// SilentError is the cause of cancelling an attempt at a group that stopped sending
// events.
type SilentError struct{ For time.Duration }

// Error implements error.
func (e *SilentError) Error() string { return fmt.Sprintf("no event for %v", e.For) }
