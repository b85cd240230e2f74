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

// Duty decides which VMs this daemon polls: those that rendezvous hashing assigns
// to it, and those whose watchers have stopped reporting.
type Duty struct {
	self   fleet.DaemonID
	live   func() []fleet.DaemonID
	listed func() map[fleet.VMID]fleet.VM
	table  *Table
	bound  time.Duration

	mu       sync.Mutex
	lastLive []fleet.DaemonID
	lastVMs  map[fleet.VMID]fleet.VM
	watched  []fleet.VM
}

// NewDuty returns the poll assignment of a daemon. live returns the daemons of
// the data centre and listed its VMs. bound is the age at which a report expires.
func NewDuty(self fleet.DaemonID, live func() []fleet.DaemonID, listed func() map[fleet.VMID]fleet.VM, table *Table, bound time.Duration) *Duty {
	return &Duty{self: self, live: live, listed: listed, table: table, bound: bound}
}

// Watched returns the VMs that this daemon is a watcher of. The result must not
// be changed.
func (d *Duty) Watched() []fleet.VM {
	live, vms := d.live(), d.listed()
	d.mu.Lock()
	defer d.mu.Unlock()
	if slices.Equal(live, d.lastLive) && (sameMap(vms, d.lastVMs) || maps.Equal(vms, d.lastVMs)) {
		d.lastVMs = vms
		return d.watched
	}
	d.lastLive, d.lastVMs = live, vms
	d.watched = nil
	for _, vm := range vms {
		if rendezvous.Chosen(string(vm.ID), live, watchersPerMember, d.self) {
			d.watched = append(d.watched, vm)
		}
	}
	return d.watched
}

// sameMap reports whether two maps are the same object. The maps are never
// modified.
func sameMap(a, b map[fleet.VMID]fleet.VM) bool {
	return reflect.ValueOf(a).Pointer() == reflect.ValueOf(b).Pointer()
}

// Watches returns a VM if this daemon is a watcher of it.
func (d *Duty) Watches(id fleet.VMID) (fleet.VM, bool) {
	for _, vm := range d.Watched() {
		if vm.ID == id {
			return vm, true
		}
	}
	return fleet.VM{}, false
}

// Targets returns the VMs to poll at now. A VM without a report from any watcher
// for half the report bound is polled by every daemon, so that its observation
// does not expire while failed watchers have not been replaced yet.
func (d *Duty) Targets(now time.Time) []fleet.VM {
	watched := d.Watched()
	targets := slices.Clone(watched)
	for _, vm := range d.listed() {
		if !d.table.Unheard(vm.ID, now.Add(-d.bound/2)) {
			continue
		}
		if !slices.ContainsFunc(watched, func(w fleet.VM) bool { return w.ID == vm.ID }) {
			targets = append(targets, vm)
		}
	}
	return targets
}
