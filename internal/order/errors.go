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

// NotClaimantError voids an outcome of a claim that is not in force.
type NotClaimantError struct {
	Key Key
}

// Error implements error.
func (e *NotClaimantError) Error() string {
	return fmt.Sprintf("no such claim of key %q is in force", e.Key)
}
