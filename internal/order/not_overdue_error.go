package order

import "fmt"

// NotOverdueError rejects a Doubt about a claim that may still be running.
type NotOverdueError struct {
	Key Key
}

// Error implements error.
func (e *NotOverdueError) Error() string {
	return fmt.Sprintf("the claim of key %q may still be running", e.Key)
}
