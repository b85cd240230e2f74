package endpoint

import (
	"fmt"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// StaleFencingError reports that the endpoint has seen a higher fencing number than
// the one sent.
type StaleFencingError struct {
	Address string
	Sent    fleet.FencingNumber
	Highest fleet.FencingNumber
}

// Error implements error.
func (e *StaleFencingError) Error() string {
	return fmt.Sprintf("endpoint %s refused stale fencing number %d: highest seen is %d", e.Address, e.Sent, e.Highest)
}
