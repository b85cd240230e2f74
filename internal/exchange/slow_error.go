package exchange

import (
	"fmt"
	"time"
)

// SlowError is the cause of cancelling an attempt that took too long while another
// endpoint may still answer in time.
type SlowError struct{ After time.Duration }

// Error implements error.
func (e *SlowError) Error() string { return fmt.Sprintf("no answer after %v", e.After) }
