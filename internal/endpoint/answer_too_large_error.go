package endpoint

import "fmt"

// AnswerTooLargeError says that a service ran a call and answered with more
// than the bound.
type AnswerTooLargeError struct {
	Address string
	Limit   int // bytes
}

// Error implements error.
func (e *AnswerTooLargeError) Error() string {
	return fmt.Sprintf("endpoint %s answered with more than %d bytes", e.Address, e.Limit)
}
