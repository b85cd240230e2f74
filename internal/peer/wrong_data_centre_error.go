package peer

import (
	"fmt"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// WrongDataCentreError reports that a daemon is in another data centre than the
// one configured for its address.
type WrongDataCentreError struct {
	Address string
	Want    fleet.DataCentre
	Got     fleet.DataCentre
}

// Error implements error.
func (e *WrongDataCentreError) Error() string {
	return fmt.Sprintf("daemon at %s is in data centre %q, settings say %q", e.Address, e.Got, e.Want)
}
