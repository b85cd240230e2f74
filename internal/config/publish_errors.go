package config

import "fmt"

// LogUnavailableError reports that the log is unavailable. Nothing was published.
type LogUnavailableError struct {
	Err error
}

// Error implements error.
func (e *LogUnavailableError) Error() string {
	return fmt.Sprintf("nothing was published, the log is unavailable: %v", e.Err)
}

// Unwrap returns the cause.
func (e *LogUnavailableError) Unwrap() error { return e.Err }

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
