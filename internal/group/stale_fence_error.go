package group

import (
	"fmt"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// StaleFenceError rejects a form that names a VM under an outdated fencing number.
type StaleFenceError struct {
	VM   fleet.VMID
	Seen fleet.FencingNumber
	Now  fleet.FencingNumber
}

// Error implements error.
func (e *StaleFenceError) Error() string {
	return fmt.Sprintf("stale fencing number of VM %s: the form has %d, now it is %d", e.VM, e.Seen, e.Now)
}
