package order

import "fmt"

// NotOverdueError voids a doubt about a claim whose time is not over.
type NotOverdueError struct {
	Key Key
}

// Error implements error.
func (e *NotOverdueError) Error() string {
	return fmt.Sprintf("the claim of key %q may still be running", e.Key)
}
