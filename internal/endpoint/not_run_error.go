package endpoint

import "fmt"

// NotRunError reports that the endpoint refused a request without running it.
type NotRunError struct {
	Address string
	Code    string
}

// Error implements error.
func (e *NotRunError) Error() string {
	return fmt.Sprintf("endpoint %s did not run the request: %s", e.Address, e.Code)
}
