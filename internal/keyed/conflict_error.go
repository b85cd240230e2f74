package keyed

import "fmt"

// ConflictError says that a topic did not end at the expected offset, so that
// nothing was appended.
type ConflictError struct {
	Topic string
	End   uint64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("topic %s ends at offset %d, not where expected", e.Topic, e.End)
}
