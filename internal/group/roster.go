package group

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// Roster combines the platform's list of VMs with the members of groups. The
// list lags and may be wrong for a time: a group member that is not listed, or
// is listed under another address, stays known until its group is released, and
// its health follows from its own reports only.
type Roster struct {
	last map[fleet.VMID]fleet.VM
}

// Update returns the VMs known at now: the listed VMs and the members of all
// groups. Callers must not modify the result.
func (r *Roster) Update(listed map[fleet.VMID]fleet.VM, fold *Fold, observations map[fleet.VMID]Observation, now time.Time, bound time.Duration) map[fleet.VMID]fleet.VM {
	known := make(map[fleet.VMID]fleet.VM, len(listed))
	for id, vm := range listed {
		vm.Address = addressOf(vm.Address, "", observations[id], now, bound)
		known[id] = vm
	}
	for _, record := range fold.groups {
		for _, id := range record.Members {
			known[id] = r.member(record, id, known, observations[id], now, bound)
		}
	}
	r.last = known
	return known
}

// member returns the VM of a group member: from the list, else as known before,
// so that a VM that was leaving when it disappeared from the list still is.
func (r *Roster) member(record *Record, id fleet.VMID, known map[fleet.VMID]fleet.VM, observation Observation, now time.Time, bound time.Duration) fleet.VM {
	vm, ok := known[id]
	if !ok {
		vm, ok = r.last[id]
	}
	if !ok {
		vm = fleet.VM{ID: id, DataCentre: record.DataCentre, FabricDomain: record.FabricDomain}
	}
	vm.Address = addressOf(vm.Address, record.Addresses[id], observation, now, bound)
	return vm
}

// addressOf returns the address at which the VM last reported while that report
// is fresh. After that it alternates between the listed and the former address
// every bound.
func addressOf(listed, recorded string, observation Observation, now time.Time, bound time.Duration) string {
	former := observation.Address
	if former == "" {
		former = recorded
	}
	if listed == "" || former == "" {
		return listed + former
	}
	age := now.Sub(observation.At)
	if observation.Fresh(now, bound) {
		return former
	}
	if bound > 0 && (age/bound)%2 == 1 {
		return former
	}
	return listed
}
