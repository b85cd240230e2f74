package endpoint

import "fmt"

// StatusError says that an endpoint answered with an unexpected status.
type StatusError struct {
	Status int
	Body   string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d: %s", e.Status, e.Body)
}
