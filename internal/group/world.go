package group

import "github.com/plantainmux/plantainmux/internal/fleet"

// World holds the VMs of the data centre and their latest reports, as known to
// this daemon. Unlike the fold, it differs between daemons.
type World struct {
	VMs          map[fleet.VMID]fleet.VM
	Observations map[fleet.VMID]Observation
}
