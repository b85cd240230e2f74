package relay

import "fmt"

// DivergedError says that another attempt began with other frames than those
// that the caller already has.
type DivergedError struct {
	Attempt string
}

// Error implements error.
func (e *DivergedError) Error() string {
	return fmt.Sprintf("attempt %s: its answer differs from what the caller has", e.Attempt)
}
