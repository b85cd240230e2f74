package order

import "fmt"

// NotUnclearError rejects an operator's settlement of an order that is not
// unclear.
type NotUnclearError struct {
	Key   Key
	State State
}

// Error implements error.
func (e *NotUnclearError) Error() string {
	return fmt.Sprintf("the order is %s: only an unclear order is settled by hand", e.State)
}
