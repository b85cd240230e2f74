package group

import (
	"fmt"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// BootsMismatchError voids a ready record whose boots are not those of the
// members, or that comes a second time.
type BootsMismatchError struct {
	Group fleet.FencingNumber
}

// Error implements error.
func (e *BootsMismatchError) Error() string {
	return fmt.Sprintf("boots do not match the members of group %d", e.Group)
}
