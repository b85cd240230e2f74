package adminapi

import (
	"fmt"
	"strings"
)

// OrderCallError reports that a call about orders to a daemon failed or was
// refused.
type OrderCallError struct {
	Address string
	Status  int // HTTP status; 0 when the daemon did not answer
	Message string
}

// Error implements error.
func (e *OrderCallError) Error() string {
	return fmt.Sprintf("daemon at %s: %s", e.Address, strings.TrimSpace(e.Message))
}
