package adminapi

import (
	"fmt"
	"strings"
)

// OrderCallError says that a daemon did not do what an operator asked of its
// orders.
type OrderCallError struct {
	Address string
	Status  int // HTTP status; 0 when the daemon did not answer
	Message string
}

// Error implements error.
func (e *OrderCallError) Error() string {
	return fmt.Sprintf("daemon at %s: %s", e.Address, strings.TrimSpace(e.Message))
}
