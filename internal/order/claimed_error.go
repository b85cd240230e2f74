package order

import "fmt"

// ClaimedError rejects a claim, or the record of a run without a claim, because
// the key is already claimed or settled.
type ClaimedError struct {
	Record Record
}

// Error implements error.
func (e *ClaimedError) Error() string {
	return fmt.Sprintf("key has been %s since offset %d", e.Record.State, e.Record.Offset)
}
