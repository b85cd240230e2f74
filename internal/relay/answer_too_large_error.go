package relay

import "fmt"

// AnswerTooLargeError says that an answer exceeds what a sink may hold.
type AnswerTooLargeError struct {
	Limit int // bytes
}

// Error implements error.
func (e *AnswerTooLargeError) Error() string {
	return fmt.Sprintf("the answer exceeds %d bytes", e.Limit)
}
