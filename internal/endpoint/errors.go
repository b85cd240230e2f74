package endpoint

import (
	"fmt"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// UnreachableError says that no byte of the request reached the endpoint.
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

// NotRunError says that the endpoint refused a request before it ran.
type NotRunError struct {
	Address string
	Code    string
}

// Error implements error.
func (e *NotRunError) Error() string {
	return fmt.Sprintf("endpoint %s did not run the request: %s", e.Address, e.Code)
}

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

// AttemptLostError says that the endpoint no longer holds an attempt that was
// to be resumed. The attempt may have run.
type AttemptLostError struct {
	Address string
	Attempt string
}

// Error implements error.
func (e *AttemptLostError) Error() string {
	return fmt.Sprintf("endpoint %s does not hold attempt %s", e.Address, e.Attempt)
}

// StaleFencingError says that the endpoint has seen a higher fencing number.
type StaleFencingError struct {
	Address string
	Sent    fleet.FencingNumber
	Highest fleet.FencingNumber
}

// Error implements error.
func (e *StaleFencingError) Error() string {
	return fmt.Sprintf("endpoint %s refused fencing number %d, it has seen %d", e.Address, e.Sent, e.Highest)
}

// StatusError says that an endpoint answered with an unexpected status.
type StatusError struct {
	Status int
	Body   string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d: %s", e.Status, e.Body)
}
