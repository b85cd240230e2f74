package endpoint

import "fmt"

// BrokenError says that an exchange broke after bytes were sent: the request
// may have run.
type BrokenError struct {
	Address string
	Err     error
}

// Error implements error.
func (e *BrokenError) Error() string {
	return fmt.Sprintf("endpoint %s broke off: %v", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Err }
