package watch

import (
	"slices"
	"sync"
	"time"

	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/group"
)

// observerTTLBounds is the number of report bounds after which the state of an
// observer that has stopped reporting is dropped.
const observerTTLBounds = 2

// Table merges the poll results of the observers of each VM.
type Table struct {
	self     fleet.DaemonID
	bound    time.Duration
	onChange func(vm fleet.VMID, observation group.Observation)
	onFail   func(vm fleet.VMID)

	mu      sync.RWMutex
	entries map[fleet.VMID]*entry
}

// NewTable returns an empty table of one daemon. bound is the age at which a
// report expires. onChange is called, without locks held, when the merged
// observation of a VM changes in failure, boot, group or engine state. onFail is
// called when a request of this daemon has failed.
func NewTable(self fleet.DaemonID, bound time.Duration, onChange func(fleet.VMID, group.Observation), onFail func(fleet.VMID)) *Table {
	return &Table{
		self:     self,
		bound:    bound,
		onChange: onChange,
		onFail:   onFail,
		entries:  map[fleet.VMID]*entry{},
	}
}

// RecordOwnSuccess stores a successful poll of this daemon. It reports whether anything but
// time and load changed.
func (t *Table) RecordOwnSuccess(observation group.Observation) bool {
	return t.RecordSuccess(t.self, observation, time.Now())
}

// RecordRequestFailure records that a request of this daemon that began at a time
// failed on a VM.
func (t *Table) RecordRequestFailure(vm fleet.VMID, at time.Time) {
	t.update(vm, func(e *entry) {
		if at.After(e.requestFailedAt) {
			e.requestFailedAt = at
		}
	})
	t.onFail(vm)
}

// RecordSuccess stores a successful poll of an observer, received at now. It reports
// whether anything but time and load changed.
func (t *Table) RecordSuccess(observer fleet.DaemonID, observation group.Observation, now time.Time) (changed bool) {
	t.update(observation.Report.VM, func(e *entry) {
		changed = e.pollStateOf(observer).recordSuccess(observation, now)
	})
	return changed
}

// RecordFailure stores a failed poll of an observer that began at a time and was
// received at now. It reports whether the observer was not failing before and is now.
func (t *Table) RecordFailure(observer fleet.DaemonID, vm fleet.VMID, at, now time.Time) (changed bool) {
	t.update(vm, func(e *entry) {
		changed = e.pollStateOf(observer).recordFailure(at, now)
	})
	return changed
}

// Forget drops the failure of an observer that no longer watches a VM. Its last
// success still counts until it expires.
func (t *Table) Forget(observer fleet.DaemonID, vm fleet.VMID) {
	t.update(vm, func(e *entry) {
		if o, ok := e.pollStates[observer]; ok && o.failing() {
			e.removeObserver(observer, o)
		}
	})
}

// update changes one entry, merges it again, and calls onChange if the merged
// observation differs.
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

// Prune drops the state of observers that have stopped reporting, and the VMs
// that have no observer and are not listed.
func (t *Table) Prune(now time.Time, listed func(fleet.VMID) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for vm, e := range t.entries {
		e.prune(now.Add(-observerTTLBounds * t.bound))
		if len(e.pollStates) == 0 && !listed(vm) {
			delete(t.entries, vm)
		}
	}
}

// All returns a copy of the merged observation of each VM that has been polled
// successfully.
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

// NotReportedSince reports whether no observer has reported on a VM since a time.
func (t *Table) NotReportedSince(vm fleet.VMID, since time.Time) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	e, ok := t.entries[vm]
	return !ok || !e.reportedSince(since)
}

// AnyFailing reports whether the last poll of a VM by any observer failed.
func (t *Table) AnyFailing(vm fleet.VMID) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	e, ok := t.entries[vm]
	if !ok {
		return false
	}
	for _, o := range e.pollStates {
		if o.failing() {
			return true
		}
	}
	return false
}

// AllFailing reports whether the last poll of a VM by each of the observers that have polled it
// failed, and any has.
func (t *Table) AllFailing(vm fleet.VMID, observers []fleet.DaemonID) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	e, ok := t.entries[vm]
	if !ok {
		return false
	}
	failing := false
	for _, observer := range observers {
		if o, polled := e.pollStates[observer]; polled {
			if !o.failing() {
				return false
			}
			failing = true
		}
	}
	return failing
}

// FailedSince reports whether this daemon's last poll of a VM failed and began later than a time.
func (t *Table) FailedSince(vm fleet.VMID, since time.Time) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	own, polled := t.ownState(vm)
	return polled && own.failing() && own.failedAt.After(since)
}

// ReachedHere reports whether this daemon's last poll of a VM succeeded.
func (t *Table) ReachedHere(vm fleet.VMID) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	own, polled := t.ownState(vm)
	return polled && own.everSucceeded() && !own.failing()
}

// ownState returns the state of this daemon's polls of a VM. The caller holds mu.
func (t *Table) ownState(vm fleet.VMID) (*pollState, bool) {
	e, ok := t.entries[vm]
	if !ok {
		return nil, false
	}
	own, polled := e.pollStates[t.self]
	return own, polled
}

// SucceededElsewhere reports whether another observer has polled a VM successfully since a time.
func (t *Table) SucceededElsewhere(vm fleet.VMID, since time.Time) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	e, ok := t.entries[vm]
	if !ok {
		return false
	}
	for observer, o := range e.pollStates {
		if observer != t.self && !o.failing() && o.lastSuccess.At.After(since) {
			return true
		}
	}
	return false
}

// ForgetRequestFailures drops the failed requests of this daemon.
func (t *Table) ForgetRequestFailures() {
	t.mu.Lock()
	var failed []fleet.VMID
	for vm, e := range t.entries {
		if !e.requestFailedAt.IsZero() {
			failed = append(failed, vm)
		}
	}
	t.mu.Unlock()
	for _, vm := range failed {
		t.update(vm, func(e *entry) { e.requestFailedAt = time.Time{} })
	}
}

// own returns this daemon's own poll state of the given VMs, sorted by VM.
func (t *Table) own(vms []fleet.VM) []listItem {
	t.mu.RLock()
	defer t.mu.RUnlock()
	items := make([]listItem, 0, len(vms))
	for _, vm := range vms {
		e, ok := t.entries[vm.ID]
		if !ok {
			continue
		}
		if o, ok := e.pollStates[t.self]; ok && o.everSucceeded() {
			items = append(items, listItem{vm: vm.ID, state: *o})
		}
	}
	slices.SortFunc(items, compareItems)
	return items
}

// differs reports whether two observations of a VM differ in failure, boot, group
// or engine state.
func differs(a, b group.Observation) bool {
	return a.Failed != b.Failed ||
		a.Report.Boot != b.Report.Boot ||
		a.Report.Group != b.Report.Group ||
		a.Report.State != b.Report.State
}
