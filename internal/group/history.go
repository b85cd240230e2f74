package group

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// History holds when this daemon first saw groups, fencing numbers and outages,
// on its own clock. It is kept in memory only: after a restart the daemon
// measures from zero, so its delays last longer.
type History struct {
	formedAt      map[fleet.FencingNumber]time.Time
	readyAt       map[fleet.FencingNumber]time.Time
	drainingSince map[fleet.FencingNumber]time.Time // when the group began to drain or to lose a leaving VM
	shortSince    map[fleet.ModelName]time.Time     // when the model began to have too few complete groups
	fences        map[fleet.VMID]fenceSeen
	outages       map[fleet.VMID]*outages
}

// NewHistory returns an empty history.
func NewHistory() *History {
	return &History{
		formedAt:      map[fleet.FencingNumber]time.Time{},
		readyAt:       map[fleet.FencingNumber]time.Time{},
		drainingSince: map[fleet.FencingNumber]time.Time{},
		shortSince:    map[fleet.ModelName]time.Time{},
		fences:        map[fleet.VMID]fenceSeen{},
		outages:       map[fleet.VMID]*outages{},
	}
}

// Update records what is new in an input. It does not read in.History.
func (h *History) Update(in Input) {
	for fencing, record := range in.Fold.groups {
		h.updateGroup(fencing, record, in)
	}
	deleteReleased(h.formedAt, in.Fold)
	deleteReleased(h.readyAt, in.Fold)
	deleteReleased(h.drainingSince, in.Fold)
	h.updateFences(in)
	h.deleteUnknownVMs(in.Fold)
	h.updateOutages(in)
	h.updateShortages(in)
}

func (h *History) updateGroup(fencing fleet.FencingNumber, record *Record, in Input) {
	setIfAbsent(h.formedAt, fencing, in.Now)
	if record.IsReady() {
		setIfAbsent(h.readyAt, fencing, in.Now)
	}
	if record.Draining || anyLeaving(record, in.World) {
		setIfAbsent(h.drainingSince, fencing, in.Now)
		return
	}
	delete(h.drainingSince, fencing)
}

func (h *History) updateFences(in Input) {
	for vm, state := range in.Fold.vms {
		if seen, ok := h.fences[vm]; !ok || seen.fence != state.Fence {
			h.fences[vm] = fenceSeen{fence: state.Fence, at: in.Now}
		}
	}
}

func (h *History) updateOutages(in Input) {
	for vm, observation := range in.World.Observations {
		if h.outages[vm] == nil {
			h.outages[vm] = &outages{}
		}
		h.outages[vm].update(observation, in.Now, in.Bounds.ReportBound)
	}
	for vm := range h.outages {
		if _, ok := in.World.Observations[vm]; !ok {
			delete(h.outages, vm)
		}
	}
}

// deleteUnknownVMs deletes the VMs that the fold no longer holds.
func (h *History) deleteUnknownVMs(fold *Fold) {
	for vm := range h.fences {
		if _, ok := fold.vms[vm]; !ok {
			delete(h.fences, vm)
		}
	}
}

// updateShortages records when each model began to have too few complete groups.
func (h *History) updateShortages(in Input) {
	complete := map[fleet.ModelName]int{}
	for _, record := range in.Fold.groups {
		if Check(record, in.World, in.Now, in.Bounds.ReportBound) == Complete {
			complete[record.Model]++
		}
	}
	for _, model := range in.Config.Models {
		if complete[model.Name] >= model.ReplicasIn(in.DataCentre) {
			delete(h.shortSince, model.Name)
			continue
		}
		setIfAbsent(h.shortSince, model.Name, in.Now)
	}
}

func setIfAbsent[K comparable](times map[K]time.Time, key K, now time.Time) {
	if _, ok := times[key]; !ok {
		times[key] = now
	}
}

func deleteReleased(times map[fleet.FencingNumber]time.Time, fold *Fold) {
	for fencing := range times {
		if _, ok := fold.groups[fencing]; !ok {
			delete(times, fencing)
		}
	}
}

func anyLeaving(record *Record, world World) bool {
	for _, vm := range record.Members {
		if world.VMs[vm].Leaving {
			return true
		}
	}
	return false
}

// Reusable reports whether a free VM may be assigned to a new group, because no
// control order of its former group can still be in flight.
func (h *History) Reusable(fold *Fold, vm fleet.VMID, now time.Time) bool {
	state := fold.VM(vm)
	if state.ReuseDelayMillis == 0 {
		return true
	}
	seen, ok := h.fences[vm]
	reuseDelay := time.Duration(state.ReuseDelayMillis) * time.Millisecond
	return ok && seen.fence == state.Fence && now.Sub(seen.at) >= reuseDelay
}

// since returns the time elapsed since times[key], or zero if there is none.
func since[K comparable](times map[K]time.Time, key K, now time.Time) time.Duration {
	at, ok := times[key]
	if !ok {
		return 0
	}
	return now.Sub(at)
}
