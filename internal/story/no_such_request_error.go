package story

import "fmt"

// NoSuchRequestError reports that no log line has the ID of a request. Of
// ordinary successful requests, only a sample is logged.
type NoSuchRequestError struct{ Request string }

// Error implements error.
func (e *NoSuchRequestError) Error() string {
	return fmt.Sprintf("no log line has request %q: it succeeded and was not sampled, or it was not received", e.Request)
}
