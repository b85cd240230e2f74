package invariant

import "github.com/plantainmux/plantainmux/internal/fleet"

// grant is a group that was granted its VMs in the log.
type grant struct {
	fencing fleet.FencingNumber
	members []fleet.VMID
	live    bool // not released
}
