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

// NotClaimantError voids a record about a claim that is not in force, or not
// its writer's.
type NotClaimantError struct {
	Key Key
}

// Error implements error.
func (e *NotClaimantError) Error() string {
	return fmt.Sprintf("no such claim of key %q is in force", e.Key)
}

// NotOverdueError voids a doubt about a claim whose time is not over.
type NotOverdueError struct {
	Key Key
}

// Error implements error.
func (e *NotOverdueError) Error() string {
	return fmt.Sprintf("the claim of key %q may still be running", e.Key)
}

// NotUnclearError voids an operator's settlement of an order that is not
// unclear.
type NotUnclearError struct {
	Key   Key
	State State
}

// Error implements error.
func (e *NotUnclearError) Error() string {
	return fmt.Sprintf("the order is %s: only an unclear order is settled by hand", e.State)
}

// UnknownKeyError says that no order with a key is kept.
type UnknownKeyError struct {
	Key Key
}

// Error implements error.
func (e *UnknownKeyError) Error() string {
	return "no order with this key is kept"
}
