package invariant

import "github.com/plantainmux/plantainmux/internal/fleet"

// grant is one group that the log granted its VMs to.
type grant struct {
	fencing fleet.FencingNumber
	members []fleet.VMID
	live    bool
}
