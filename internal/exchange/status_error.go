package exchange

import "fmt"

// StatusError reports that an endpoint answered a repeatable request with an error
// status.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("endpoint failed with status %d", e.Status) }
