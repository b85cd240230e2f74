package relay

import "fmt"

// DivergedError reports that the first frames of another attempt differ from those
// already delivered to the caller.
type DivergedError struct {
	Attempt string
}

// Error implements error.
func (e *DivergedError) Error() string {
	return fmt.Sprintf("attempt %s: answer differs from the part already delivered", e.Attempt)
}
