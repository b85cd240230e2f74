package order

import "fmt"

// NotClaimantError rejects a record that refers to a claim that is not in force or
// was written by another writer.
type NotClaimantError struct {
	Key Key
}

// Error implements error.
func (e *NotClaimantError) Error() string {
	return fmt.Sprintf("no such claim of key %q is in force", e.Key)
}
