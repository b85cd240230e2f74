package config

import "fmt"

// LogAwayError reports that the log is unavailable. Nothing was published.
type LogAwayError struct {
	Err error
}

// Error implements error.
func (e *LogAwayError) Error() string {
	return fmt.Sprintf("nothing was published, the log is unavailable: %v", e.Err)
}

// Unwrap returns the cause.
func (e *LogAwayError) Unwrap() error { return e.Err }

// OutcomeUnknownError reports that a publication was sent to the log but could
// not be read back. It is safe to repeat the same publication: if the first one
// is in force, the repetition succeeds and returns its version.
type OutcomeUnknownError struct {
	Err error
}

// Error implements error.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("outcome unknown: the configuration may have been published; repeat the command to find out: %v", e.Err)
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Err }
