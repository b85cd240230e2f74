package group

import (
	"fmt"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// BootsMismatchError rejects a ready record whose boot IDs are not those of
// exactly the members, or for a group that is already ready.
type BootsMismatchError struct {
	Group fleet.FencingNumber
}

// Error implements error.
func (e *BootsMismatchError) Error() string {
	return fmt.Sprintf("boot IDs do not match the members of group %d, or it is already ready", e.Group)
}
