package upstream

import "fmt"

// ConnectError says that no byte of a request was sent.
type ConnectError struct {
	Address string
	Err     error
}

// Error implements error.
func (e *ConnectError) Error() string {
	return fmt.Sprintf("no connection to %s: %v", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *ConnectError) Unwrap() error { return e.Err }
