package endpoint

import (
	"fmt"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// StaleFencingError says that the endpoint has seen a higher fencing number.
type StaleFencingError struct {
	Address string
	Sent    fleet.FencingNumber
	Highest fleet.FencingNumber
}

// Error implements error.
func (e *StaleFencingError) Error() string {
	return fmt.Sprintf("endpoint %s refused fencing number %d, it has seen %d", e.Address, e.Sent, e.Highest)
}
