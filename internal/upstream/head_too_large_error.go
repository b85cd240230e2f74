package upstream

import "fmt"

// HeadTooLargeError reports that the head of a response, with the interim responses before it,
// exceeds a limit.
type HeadTooLargeError struct{ Limit int64 } // bytes

// Error implements error.
func (e *HeadTooLargeError) Error() string {
	return fmt.Sprintf("the head of the response exceeds %d bytes", e.Limit)
}
