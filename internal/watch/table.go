// Package watch keeps the latest observation of each member and polls the
// members that this daemon is a watcher of.
package watch

import (
	"maps"
	"sync"
	"time"

	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/group"
)

// Table holds the latest observation of each VM.
type Table struct {
	onChange func(vm fleet.VMID, observation group.Observation)

	mu           sync.RWMutex
	observations map[fleet.VMID]group.Observation
}

// NewTable returns an empty table. onChange is called, without locks held,
// when an observation differs from the one before in more than its load.
func NewTable(onChange func(fleet.VMID, group.Observation)) *Table {
	return &Table{onChange: onChange, observations: map[fleet.VMID]group.Observation{}}
}

// Put stores an observation unless a newer one is known.
func (t *Table) Put(observation group.Observation) {
	vm := observation.Report.VM
	t.mu.Lock()
	old, known := t.observations[vm]
	if known && observation.At.Before(old.At) {
		t.mu.Unlock()
		return
	}
	t.observations[vm] = observation
	t.mu.Unlock()
	if !known || differs(old, observation) {
		t.onChange(vm, observation)
	}
}

// Fail notes that a member failed a poll or a request that began at a time.
func (t *Table) Fail(vm fleet.VMID, at time.Time) {
	t.mu.Lock()
	observation, known := t.observations[vm]
	if !known || observation.Failed || at.Before(observation.At) {
		t.mu.Unlock()
		return
	}
	observation.Failed = true
	t.observations[vm] = observation
	t.mu.Unlock()
	t.onChange(vm, observation)
}

// All returns a copy of all observations.
func (t *Table) All() map[fleet.VMID]group.Observation {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return maps.Clone(t.observations)
}

func differs(a, b group.Observation) bool {
	return a.Failed != b.Failed ||
		a.Report.Boot != b.Report.Boot ||
		a.Report.Group != b.Report.Group ||
		a.Report.State != b.Report.State
}
