package invariant

import "fmt"

// SourceError reports that the records of a fake could not be read.
type SourceError struct {
	Source string // address of the engine, or name of the stream
	Status int    // HTTP status, or 0 when there was no response
	Err    error
}

// Error implements error.
func (e *SourceError) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("cannot read records of %s: status %d", e.Source, e.Status)
	}
	return fmt.Sprintf("cannot read records of %s: %v", e.Source, e.Err)
}

// Unwrap returns the cause.
func (e *SourceError) Unwrap() error { return e.Err }
