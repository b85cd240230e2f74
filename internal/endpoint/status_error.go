package endpoint

import "fmt"

// StatusError reports a response with an unexpected HTTP status.
type StatusError struct {
	Status int
	Body   string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d: %s", e.Status, e.Body)
}
