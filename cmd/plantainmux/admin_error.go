package main

import "fmt"

// adminError says that a daemon refused an operator's call.
type adminError struct {
	Address string
	Status  int
}

// Error implements error.
func (e *adminError) Error() string {
	return fmt.Sprintf("daemon %s answered with status %d", e.Address, e.Status)
}
