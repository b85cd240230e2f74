package invariant

import (
	"fmt"
	"time"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// Violation is a violation of an invariant by one event.
type Violation struct {
	Rule   Rule
	At     time.Time
	VM     fleet.VMID
	Group  fleet.FencingNumber
	Reason string
}

// Error implements error.
func (v *Violation) Error() string {
	return fmt.Sprintf("%s at %s: VM %s, group %d: %s", v.Rule, v.At.Format("15:04:05.000"), v.VM, v.Group, v.Reason)
}
