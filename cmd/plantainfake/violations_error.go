package main

import "fmt"

// violationsError says that invariants were broken.
type violationsError struct {
	count int
}

// Error implements error.
func (e *violationsError) Error() string {
	return fmt.Sprintf("%d violations of the invariants of groups", e.count)
}
