package formation

import "fmt"

// RefusedError reports that an endpoint's state does not permit an order.
type RefusedError struct {
	Status int // HTTP status
	// NotInGroup states that the endpoint is not in the group that the order names.
	NotInGroup bool
	Reason     string
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("order refused with status %d: %s", e.Status, e.Reason)
}
