package endpoint

import "fmt"

// NotRunError says that the endpoint refused a request before it ran.
type NotRunError struct {
	Address string
	Code    string
}

// Error implements error.
func (e *NotRunError) Error() string {
	return fmt.Sprintf("endpoint %s did not run the request: %s", e.Address, e.Code)
}
