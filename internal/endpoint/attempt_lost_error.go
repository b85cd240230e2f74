package endpoint

import "fmt"

// AttemptLostError reports that the endpoint no longer holds an attempt that was to
// be resumed. The attempt may have run.
type AttemptLostError struct {
	Address string
	Attempt string
}

// Error implements error.
func (e *AttemptLostError) Error() string {
	return fmt.Sprintf("endpoint %s no longer holds attempt %s", e.Address, e.Attempt)
}
