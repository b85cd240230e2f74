package order

import "fmt"

// NotClaimantError voids a record about a claim that is not in force, or not
// its writer's.
type NotClaimantError struct {
	Key Key
}

// Error implements error.
func (e *NotClaimantError) Error() string {
	return fmt.Sprintf("no such claim of key %q is in force", e.Key)
}
