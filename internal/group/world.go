package group

import "github.com/plantainmux/plantainmux/internal/fleet"

// World is what a daemon knows of the VMs of its data centre beside the fold.
type World struct {
	VMs          map[fleet.VMID]fleet.VM
	Observations map[fleet.VMID]Observation
}
