package exchange

import (
	"fmt"
	"time"
)

// SlowError ends an attempt that has taken too long while another endpoint may
// still answer in time.
type SlowError struct{ After time.Duration }

// Error implements error.
func (e *SlowError) Error() string { return fmt.Sprintf("no answer after %v", e.After) }
