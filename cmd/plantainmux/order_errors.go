package main

import "fmt"

// verdictError says that a settlement does not name one verdict.
type verdictError struct{}

// Error implements error.
func (*verdictError) Error() string { return "give either --ran or --not-ran" }

// settleUnknownError says that a settlement may or may not be recorded.
type settleUnknownError struct {
	Err error
}

// Error implements error.
func (e *settleUnknownError) Error() string {
	return fmt.Sprintf("not known whether the settlement was recorded; show the order to find out: %v", e.Err)
}

// Unwrap returns the cause.
func (e *settleUnknownError) Unwrap() error { return e.Err }
