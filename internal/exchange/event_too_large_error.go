package exchange

import "fmt"

// EventTooLargeError reports that a stream does not end an event.
type EventTooLargeError struct{ Limit int } // bytes

// Error implements error.
func (e *EventTooLargeError) Error() string { return fmt.Sprintf("an event exceeds %d bytes", e.Limit) }
