package infra

import (
	"fmt"
	"net/http"
)

// statusError is the HTTP status of a failed request to the platform.
type statusError int

// Error implements error.
func (e statusError) Error() string {
	return fmt.Sprintf("status %d %s", int(e), http.StatusText(int(e)))
}
