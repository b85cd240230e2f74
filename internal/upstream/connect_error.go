package upstream

import "fmt"

// ConnectError reports that no connection was made, so that no byte of the request was
// sent.
type ConnectError struct {
	Address string
	Err     error
}

// Error implements error.
func (e *ConnectError) Error() string {
	return fmt.Sprintf("cannot connect to %s: %v", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *ConnectError) Unwrap() error { return e.Err }
