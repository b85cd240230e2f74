package group

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// Roster remembers the VMs of a data centre. The platform's list lags and may
// be wrong for a time: a member that it leaves out, or gives under another
// address, stays known as long as its group lives, and is judged by its own
// reports alone.
type Roster struct {
	last map[fleet.VMID]fleet.VM
}

// Update returns the VMs known at now: the listed ones and the members of all
// groups. The result must not be changed.
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

// member returns what is known of a member. A VM that left the list while it
// was leaving is still leaving.
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

// addressOf returns the address that proved itself as long as it does, then
// the listed one and the former one in turn.
func addressOf(listed, formed string, observation Observation, now time.Time, bound time.Duration) string {
	former := observation.Address
	if former == "" {
		former = formed
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
