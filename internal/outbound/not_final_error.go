package outbound

import "fmt"

// NotFinalError reports a response that is not final. The request may have run.
type NotFinalError struct{ Status int } // 0: none

// Error implements error.
func (e *NotFinalError) Error() string {
	return fmt.Sprintf("status %d is not that of a final response", e.Status)
}
