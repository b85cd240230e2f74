package main

import "fmt"

// verdictFlagsError reports that not exactly one verdict was given for a settlement.
type verdictFlagsError struct{}

// Error implements error.
func (*verdictFlagsError) Error() string { return "give either --ran or --not-ran" }

// settleUnknownError reports that it is unknown whether a settlement was recorded.
type settleUnknownError struct {
	Err error
}

// Error implements error.
func (e *settleUnknownError) Error() string {
	return fmt.Sprintf("unknown whether the settlement was recorded; run order show to find out: %v", e.Err)
}

// Unwrap returns the cause.
func (e *settleUnknownError) Unwrap() error { return e.Err }
