package main

import "fmt"

// violationsError reports that invariants of groups were violated.
type violationsError struct {
	count int
}

// Error implements error.
func (e *violationsError) Error() string {
	return fmt.Sprintf("%d violations of the invariants of groups", e.count)
}
