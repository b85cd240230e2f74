package group

import (
	"fmt"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// MalformedFormError voids a form without members or with one twice.
type MalformedFormError struct {
	VM fleet.VMID
}

// Error implements error.
func (e *MalformedFormError) Error() string {
	return fmt.Sprintf("members of the form are malformed at %q", e.VM)
}
