package config

import "fmt"

// LogAwayError says that the log cannot be reached. Nothing was published.
type LogAwayError struct {
	Err error
}

// Error implements error.
func (e *LogAwayError) Error() string {
	return fmt.Sprintf("nothing was published, the log is out of reach: %v", e.Err)
}

// Unwrap returns the cause.
func (e *LogAwayError) Unwrap() error { return e.Err }

// OutcomeUnknownError says that a publication was sent and not read back. The
// same publication may be repeated: if it is in force, the repeat says so.
type OutcomeUnknownError struct {
	Err error
}

// Error implements error.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("it is not known whether the configuration was published; repeat the command to find out: %v", e.Err)
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Err }
