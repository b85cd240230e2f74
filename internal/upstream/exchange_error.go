package upstream

import "fmt"

// ExchangeError reports that a request may have been sent, in whole or in part, and that
// no response could be read.
type ExchangeError struct {
	Address string
	Reused  bool // the connection had served a request before
	Err     error
}

// Error implements error.
func (e *ExchangeError) Error() string {
	return fmt.Sprintf("exchange with %s failed: %v", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *ExchangeError) Unwrap() error { return e.Err }
