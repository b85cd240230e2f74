package exchange

import "fmt"

// EventOrderError reports that the event IDs of a stream are not consecutive.
type EventOrderError struct{ Last, Next string }

// Error implements error.
func (e *EventOrderError) Error() string {
	return fmt.Sprintf("event %q follows %q", e.Next, e.Last)
}
