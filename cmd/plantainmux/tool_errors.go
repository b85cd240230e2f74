package main

import "fmt"

// differsError says that two configurations differ.
type differsError struct{}

// Error implements error.
func (*differsError) Error() string { return "the configurations differ" }

// Silent implements silentError.
func (*differsError) Silent() {}

// daemonsError says that some daemons are not as they should be.
type daemonsError struct {
	Count int
}

// Error implements error.
func (e *daemonsError) Error() string { return fmt.Sprintf("%d daemons are not well", e.Count) }

// Silent implements silentError.
func (*daemonsError) Silent() {}
