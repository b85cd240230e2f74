package peer

import "fmt"

// EncodeError says that a value has no encoding.
type EncodeError struct {
	Type string
	Err  error
}

// Error implements error.
func (e *EncodeError) Error() string { return fmt.Sprintf("encode %s: %v", e.Type, e.Err) }

// Unwrap returns the cause.
func (e *EncodeError) Unwrap() error { return e.Err }
