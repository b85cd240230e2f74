package logstream

import "fmt"

// UnknownKindError reports that a fold does not support a kind of record.
type UnknownKindError struct {
	Kind Kind
}

// Error implements error.
func (e *UnknownKindError) Error() string {
	return fmt.Sprintf("unknown kind of record %q", e.Kind)
}
