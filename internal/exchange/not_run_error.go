package exchange

import "fmt"

// NotRunError reports that the endpoint proved that it did not run the request.
type NotRunError struct {
	Status    int
	Elsewhere bool   // the address now belongs to another endpoint
	Fault     string // ID of the member that prevents the group from serving; empty: unknown
}

// Error implements error.
func (e *NotRunError) Error() string {
	return fmt.Sprintf("endpoint did not run the request: status %d", e.Status)
}
