package group

import (
	"fmt"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// StaleFenceError voids a form that was made when the VM was free under an
// older fencing number.
type StaleFenceError struct {
	VM   fleet.VMID
	Seen fleet.FencingNumber
	Now  fleet.FencingNumber
}

// Error implements error.
func (e *StaleFenceError) Error() string {
	return fmt.Sprintf("VM %s was free under fencing number %d, now it has %d", e.VM, e.Seen, e.Now)
}
