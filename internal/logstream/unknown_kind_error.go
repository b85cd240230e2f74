package logstream

import "fmt"

// UnknownKindError says that a fold does not know a kind of record.
type UnknownKindError struct {
	Kind Kind
}

// Error implements error.
func (e *UnknownKindError) Error() string {
	return fmt.Sprintf("unknown kind of record %q", e.Kind)
}
