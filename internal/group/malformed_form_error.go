package group

import (
	"fmt"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// MalformedFormError rejects a form without members, with an empty or repeated
// VM, or without an address and a fencing number for each member.
type MalformedFormError struct {
	VM fleet.VMID
}

// Error implements error.
func (e *MalformedFormError) Error() string {
	return fmt.Sprintf("malformed form: empty, repeated or incomplete member %q", e.VM)
}
