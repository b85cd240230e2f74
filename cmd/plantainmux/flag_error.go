package main

import "fmt"

// flagError reports that the value of a flag cannot be parsed.
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
