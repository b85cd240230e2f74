package endpoint

import "fmt"

// BrokenError reports that an exchange failed after bytes were sent, so the request
// may have run.
type BrokenError struct {
	Address string
	Err     error
}

// Error implements error.
func (e *BrokenError) Error() string {
	return fmt.Sprintf("exchange with endpoint %s failed: %v", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Err }
