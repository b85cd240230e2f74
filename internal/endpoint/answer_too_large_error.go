package endpoint

import "fmt"

// AnswerTooLargeError reports that a service executed a call but its response
// exceeds the size limit.
type AnswerTooLargeError struct {
	Address string
	Limit   int // bytes
}

// Error implements error.
func (e *AnswerTooLargeError) Error() string {
	return fmt.Sprintf("endpoint %s answered with more than %d bytes", e.Address, e.Limit)
}
