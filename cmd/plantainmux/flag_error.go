package main

import "fmt"

// flagError says that the value of a flag cannot be read.
type flagError struct {
	Flag  string
	Value string
	Err   error
}

// Error implements error.
func (e *flagError) Error() string {
	return fmt.Sprintf("%s %q: %v", e.Flag, e.Value, e.Err)
}

// Unwrap returns the cause.
func (e *flagError) Unwrap() error { return e.Err }
