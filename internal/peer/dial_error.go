package peer

import "fmt"

// DialError reports that dialling an address failed.
type DialError struct {
	Address string
	Err     error
}

// Error implements error.
func (e *DialError) Error() string { return fmt.Sprintf("dial %s: %v", e.Address, e.Err) }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Err }
