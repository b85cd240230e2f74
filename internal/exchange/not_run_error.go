package exchange

import "fmt"

// NotRunError says that the endpoint proved that it did not run the request.
type NotRunError struct {
	Status    int
	Elsewhere bool   // another endpoint has the address now
	Fault     string // the member that keeps the group from serving; empty: not told
}

// Error implements error.
func (e *NotRunError) Error() string {
	return fmt.Sprintf("endpoint did not run the request: status %d", e.Status)
}
