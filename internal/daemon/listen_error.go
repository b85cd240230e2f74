package daemon

import "fmt"

// ListenError reports that listening on a configured address failed.
type ListenError struct {
	Name string
	Err  error
}

// Error implements error.
func (e *ListenError) Error() string {
	return fmt.Sprintf("listen.%s: %v", e.Name, e.Err)
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Err }
