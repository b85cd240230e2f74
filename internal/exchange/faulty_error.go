package exchange

import "fmt"

// FaultyError says that an endpoint failed a request that may run again.
type FaultyError struct{ Status int }

// Error implements error.
func (e *FaultyError) Error() string { return fmt.Sprintf("endpoint failed with status %d", e.Status) }
