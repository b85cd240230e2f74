package endpoint

import "fmt"

// UnreachableError reports that no byte of the request was sent to the endpoint.
type UnreachableError struct {
	Address string
	Err     error
}

// Error implements error.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("endpoint %s unreachable: %v", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Err }
