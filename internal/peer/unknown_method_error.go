package peer

import "fmt"

// UnknownMethodError reports that a daemon has no handler for a method.
type UnknownMethodError struct {
	Method Method
}

// Error implements error.
func (e *UnknownMethodError) Error() string {
	return fmt.Sprintf("unknown method %q", e.Method)
}
