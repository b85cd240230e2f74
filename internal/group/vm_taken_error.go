package group

import (
	"fmt"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// VMTakenError rejects a form that names a VM that is in a group.
type VMTakenError struct {
	VM    fleet.VMID
	Group fleet.FencingNumber
}

// Error implements error.
func (e *VMTakenError) Error() string {
	return fmt.Sprintf("VM %s is already a member of group %d", e.VM, e.Group)
}
