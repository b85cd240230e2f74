package invariant

import "fmt"

// SourceError is a stand-in whose records could not be read.
type SourceError struct {
	Source string // address or stream
	Status int    // HTTP status, or 0 when there was no answer
	Err    error
}

// Error implements error.
func (e *SourceError) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("%s: status %d", e.Source, e.Status)
	}
	return fmt.Sprintf("%s: %v", e.Source, e.Err)
}

// Unwrap returns the cause.
func (e *SourceError) Unwrap() error { return e.Err }
