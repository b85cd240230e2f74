package exchange

import "fmt"

// NotResumedError reports a success that is not the rest of the stream that was asked for.
type NotResumedError struct {
	Status      int
	ContentType string
}

// Error implements error.
func (e *NotResumedError) Error() string {
	return fmt.Sprintf("answer with status %d and content type %q does not resume the stream", e.Status, e.ContentType)
}
