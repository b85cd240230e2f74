package keyed

import "fmt"

// ConflictError reports that nothing was appended to a topic because it did not end at
// the expected offset.
type ConflictError struct {
	Topic string
	End   uint64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("topic %s ends at offset %d, not where expected", e.Topic, e.End)
}
