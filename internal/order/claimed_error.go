package order

import "fmt"

// ClaimedError voids a claim of a key that is claimed or settled.
type ClaimedError struct {
	Record Record
}

// Error implements error.
func (e *ClaimedError) Error() string {
	return fmt.Sprintf("key is %s since offset %d", e.Record.State, e.Record.Offset)
}
