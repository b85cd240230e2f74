package watch

import (
	"slices"
	"sync"
	"time"

	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/group"
)

// forgetBounds is how many report bounds an observer's word is kept that it
// does not repeat.
const forgetBounds = 2

// Table weighs what the observers of each VM say.
type Table struct {
	self     fleet.DaemonID
	bound    time.Duration
	onChange func(vm fleet.VMID, observation group.Observation)
	onFail   func(vm fleet.VMID)

	mu      sync.RWMutex
	entries map[fleet.VMID]*entry
}

// NewTable returns an empty table of one daemon. bound is the age at which a
// report proves nothing. onChange is called, without locks held, when what is
// known of a VM changes in more than its load. onFail is called when a request
// of this daemon failed.
func NewTable(self fleet.DaemonID, bound time.Duration, onChange func(fleet.VMID, group.Observation), onFail func(fleet.VMID)) *Table {
	return &Table{
		self:     self,
		bound:    bound,
		onChange: onChange,
		onFail:   onFail,
		entries:  map[fleet.VMID]*entry{},
	}
}

// Put stores an observation of this daemon. It reports whether the observation
// says more than that nothing has changed.
func (t *Table) Put(observation group.Observation) bool {
	return t.Saw(t.self, observation, time.Now())
}

// Fail notes that a request of this daemon, begun at a time, failed on a VM.
func (t *Table) Fail(vm fleet.VMID, at time.Time) {
	t.update(vm, func(e *entry) {
		if at.After(e.requestFailedAt) {
			e.requestFailedAt = at
		}
	})
	t.onFail(vm)
}

// Saw notes a successful poll of an observer, heard of at now.
func (t *Table) Saw(observer fleet.DaemonID, observation group.Observation, now time.Time) (changed bool) {
	t.update(observation.Report.VM, func(e *entry) {
		changed = e.of(observer).succeed(observation, now)
	})
	return changed
}

// Missed notes a failed poll of an observer that began at a time.
func (t *Table) Missed(observer fleet.DaemonID, vm fleet.VMID, at, now time.Time) (changed bool) {
	t.update(vm, func(e *entry) {
		changed = e.of(observer).fail(at, now)
	})
	return changed
}

// Forget drops what an observer said of a VM, as it no longer watches it. Its
// last success still counts until it is too old.
func (t *Table) Forget(observer fleet.DaemonID, vm fleet.VMID) {
	t.update(vm, func(e *entry) {
		if o, ok := e.opinions[observer]; ok && o.failing() {
			e.forgetOne(observer, o)
		}
	})
}

// update changes one entry and tells of what follows.
func (t *Table) update(vm fleet.VMID, change func(*entry)) {
	t.mu.Lock()
	e, ok := t.entries[vm]
	if !ok {
		e = newEntry()
		t.entries[vm] = e
	}
	change(e)
	old := e.merged
	e.merged = merge(e, t.self, t.bound)
	merged := e.merged
	t.mu.Unlock()
	if differs(old, merged) {
		t.onChange(vm, merged)
	}
}

// Prune drops the words of observers that no longer repeat them, and the VMs
// that nobody speaks of and that are not listed.
func (t *Table) Prune(now time.Time, listed func(fleet.VMID) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for vm, e := range t.entries {
		e.forget(now.Add(-forgetBounds * t.bound))
		if len(e.opinions) == 0 && !listed(vm) {
			delete(t.entries, vm)
		}
	}
}

// All returns a copy of what is known of each VM that ever reported.
func (t *Table) All() map[fleet.VMID]group.Observation {
	t.mu.RLock()
	defer t.mu.RUnlock()
	all := make(map[fleet.VMID]group.Observation, len(t.entries))
	for vm, e := range t.entries {
		if !e.merged.At.IsZero() {
			all[vm] = e.merged
		}
	}
	return all
}

// Unheard reports whether no observer spoke of a VM since a time.
func (t *Table) Unheard(vm fleet.VMID, since time.Time) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	e, ok := t.entries[vm]
	return !ok || !e.heardSince(since)
}

// own returns the opinions of this daemon on some VMs, sorted by VM.
func (t *Table) own(vms []fleet.VM) []ownItem {
	t.mu.RLock()
	defer t.mu.RUnlock()
	items := make([]ownItem, 0, len(vms))
	for _, vm := range vms {
		e, ok := t.entries[vm.ID]
		if !ok {
			continue
		}
		if o, ok := e.opinions[t.self]; ok && o.known() {
			items = append(items, ownItem{vm: vm.ID, opinion: *o})
		}
	}
	slices.SortFunc(items, compareItems)
	return items
}

// differs compares two observations of a VM, but for time and load.
func differs(a, b group.Observation) bool {
	return a.Failed != b.Failed ||
		a.Report.Boot != b.Report.Boot ||
		a.Report.Group != b.Report.Group ||
		a.Report.State != b.Report.State
}
