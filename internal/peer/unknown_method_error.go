package peer

import "fmt"

// UnknownMethodError says that a daemon has no handler of a method.
type UnknownMethodError struct {
	Method Method
}

// Error implements error.
func (e *UnknownMethodError) Error() string {
	return fmt.Sprintf("unknown method %q", e.Method)
}
