package exchange

import (
	"fmt"

	"github.com/plantainmux/plantainmux/internal/outbound"
)

// NotSentError reports that no byte of the request reached the endpoint.
type NotSentError struct {
	Blame outbound.Blame // what kept it from being sent
	Err   error
}

// Error implements error.
func (e *NotSentError) Error() string { return fmt.Sprintf("not sent: %v", e.Err) }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Err }
