package upstream

import "fmt"

// ExchangeError says that a request was sent, in whole or in part, and that no
// answer could be read.
type ExchangeError struct {
	Address string
	Reused  bool // the connection had served a request before
	Err     error
}

// Error implements error.
func (e *ExchangeError) Error() string {
	return fmt.Sprintf("exchange with %s broke: %v", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *ExchangeError) Unwrap() error { return e.Err }
