package formation

import "fmt"

// RefusedError says that an order does not fit the state of an endpoint.
type RefusedError struct {
	Status int // HTTP status
	Reason string
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("order refused with status %d: %s", e.Status, e.Reason)
}
