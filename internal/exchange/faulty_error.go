package exchange

import "fmt"

// FaultyError reports that an endpoint answered a repeatable request with an error
// status.
type FaultyError struct{ Status int }

// Error implements error.
func (e *FaultyError) Error() string { return fmt.Sprintf("endpoint failed with status %d", e.Status) }
