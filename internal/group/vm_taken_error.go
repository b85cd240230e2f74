package group

import (
	"fmt"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// VMTakenError voids a form that names a VM of another group.
type VMTakenError struct {
	VM    fleet.VMID
	Group fleet.FencingNumber
}

// Error implements error.
func (e *VMTakenError) Error() string {
	return fmt.Sprintf("VM %s is a member of group %d", e.VM, e.Group)
}
