package exchange

import (
	"fmt"
	"time"
)

// SilentError ends an attempt at a group that has fallen silent.
type SilentError struct{ For time.Duration }

// Error implements error.
func (e *SilentError) Error() string { return fmt.Sprintf("silent for %v", e.For) }
