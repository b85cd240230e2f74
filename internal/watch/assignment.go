package watch

import (
	"maps"
	"reflect"
	"slices"
	"sync"
	"time"

	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/rendezvous"
)

// watchersPerMember is the number of daemons of a data centre that poll each VM.
const watchersPerMember = 2

// secondOpinionBounds is the number of report bounds between two polls of a VM that neither its
// watchers nor this daemon reaches: a dead VM is not polled by all daemons in each round.
const secondOpinionBounds = 2

// Assignment decides which VMs this daemon polls: those that rendezvous hashing assigns
// to it, and those whose watchers have stopped reporting.
type Assignment struct {
	self   fleet.DaemonID
	live   func() []fleet.DaemonID
	listed func() map[fleet.VMID]fleet.VM
	table  *Table
	bound  time.Duration

	mu       sync.Mutex
	lastLive []fleet.DaemonID
	lastVMs  map[fleet.VMID]fleet.VM
	assigned []fleet.VM
}

// NewAssignment returns the poll assignment of a daemon. live returns the daemons of
// the data centre and listed its VMs. bound is the age at which a report expires.
func NewAssignment(self fleet.DaemonID, live func() []fleet.DaemonID, listed func() map[fleet.VMID]fleet.VM, table *Table, bound time.Duration) *Assignment {
	return &Assignment{self: self, live: live, listed: listed, table: table, bound: bound}
}

// Assigned returns the VMs that this daemon is a watcher of. The result must not
// be changed.
func (a *Assignment) Assigned() []fleet.VM {
	live, vms := a.live(), a.listed()
	a.mu.Lock()
	defer a.mu.Unlock()
	if slices.Equal(live, a.lastLive) && (sameMap(vms, a.lastVMs) || maps.Equal(vms, a.lastVMs)) {
		a.lastVMs = vms
		return a.assigned
	}
	a.lastLive, a.lastVMs = live, vms
	a.assigned = nil
	for _, vm := range vms {
		if rendezvous.Chosen(string(vm.ID), live, watchersPerMember, a.self) {
			a.assigned = append(a.assigned, vm)
		}
	}
	return a.assigned
}

// sameMap reports whether two maps are the same object. The maps are never
// modified.
func sameMap(a, b map[fleet.VMID]fleet.VM) bool {
	return reflect.ValueOf(a).Pointer() == reflect.ValueOf(b).Pointer()
}

// AssignedVM returns a VM if this daemon is a watcher of it.
func (a *Assignment) AssignedVM(id fleet.VMID) (fleet.VM, bool) {
	for _, vm := range a.Assigned() {
		if vm.ID == id {
			return vm, true
		}
	}
	return fleet.VM{}, false
}

// Targets returns the VMs to poll at now. A VM without a report from any watcher
// for half the report bound is polled by every daemon, so that its observation
// does not expire while failed watchers have not been replaced yet. So is a VM that
// its watchers do not reach: they may be cut off.
func (a *Assignment) Targets(now time.Time) []fleet.VM {
	assigned := a.Assigned()
	targets := slices.Clone(assigned)
	for _, vm := range a.unassigned(assigned) {
		if a.table.NotReportedSince(vm.ID, now.Add(-a.bound/2)) || a.secondOpinionDue(vm.ID, now) {
			targets = append(targets, vm)
		}
	}
	return targets
}

// SecondOpinion returns a VM if this daemon should poll it although it is no watcher of it.
func (a *Assignment) SecondOpinion(id fleet.VMID, now time.Time) (fleet.VM, bool) {
	vm, ok := a.listed()[id]
	return vm, ok && a.secondOpinionDue(id, now)
}

func (a *Assignment) secondOpinionDue(id fleet.VMID, now time.Time) bool {
	return a.unreachedByWatchers(id) && !a.table.FailedSince(id, now.Add(-secondOpinionBounds*a.bound))
}

// unreachedByWatchers reports whether the last polls of a VM by its watchers failed.
func (a *Assignment) unreachedByWatchers(id fleet.VMID) bool {
	if !a.table.AnyFailing(id) {
		return false
	}
	return a.table.AllFailing(id, rendezvous.Choose(string(id), a.live(), watchersPerMember))
}

// Published returns the VMs on which this daemon reports to its peers: those that it is a watcher
// of, and those that it reaches while their watchers do not.
func (a *Assignment) Published() []fleet.VM {
	assigned := a.Assigned()
	published := slices.Clone(assigned)
	for _, vm := range a.unassigned(assigned) {
		if a.table.ReachedHere(vm.ID) && a.unreachedByWatchers(vm.ID) {
			published = append(published, vm)
		}
	}
	return published
}

// unassigned returns the listed VMs that this daemon is no watcher of.
func (a *Assignment) unassigned(assigned []fleet.VM) []fleet.VM {
	watched := make(map[fleet.VMID]struct{}, len(assigned))
	for _, vm := range assigned {
		watched[vm.ID] = struct{}{}
	}
	var others []fleet.VM
	for _, vm := range a.listed() {
		if _, ok := watched[vm.ID]; !ok {
			others = append(others, vm)
		}
	}
	return others
}
