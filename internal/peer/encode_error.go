package peer

import "fmt"

// EncodeError reports that a value cannot be encoded.
type EncodeError struct {
	Type string
	Err  error
}

// Error implements error.
func (e *EncodeError) Error() string { return fmt.Sprintf("encode %s: %v", e.Type, e.Err) }

// Unwrap returns the cause.
func (e *EncodeError) Unwrap() error { return e.Err }
