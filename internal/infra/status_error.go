package infra

import (
	"fmt"
	"net/http"
)

// statusError is an HTTP status that the platform answered with.
type statusError int

// Error implements error.
func (e statusError) Error() string {
	return fmt.Sprintf("status %d %s", int(e), http.StatusText(int(e)))
}
