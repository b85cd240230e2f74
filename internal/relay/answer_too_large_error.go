package relay

import "fmt"

// AnswerTooLargeError reports that an answer exceeds the size limit of a sink.
type AnswerTooLargeError struct {
	Limit int // bytes
}

// Error implements error.
func (e *AnswerTooLargeError) Error() string {
	return fmt.Sprintf("the answer exceeds %d bytes", e.Limit)
}
