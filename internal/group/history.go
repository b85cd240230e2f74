package group

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// History is what one daemon remembers of its own first sights, by its own
// clock. It is soft: a daemon that starts anew rests and waits a little longer.
type History struct {
	formed  map[fleet.FencingNumber]time.Time
	ready   map[fleet.FencingNumber]time.Time
	idling  map[fleet.FencingNumber]time.Time // since when the group has to finish its requests
	short   map[fleet.ModelName]time.Time     // since when it has had too few complete groups
	fences  map[fleet.VMID]sighting
	outages map[fleet.VMID]*outages
}

// NewHistory returns an empty history.
func NewHistory() *History {
	return &History{
		formed:  map[fleet.FencingNumber]time.Time{},
		ready:   map[fleet.FencingNumber]time.Time{},
		idling:  map[fleet.FencingNumber]time.Time{},
		short:   map[fleet.ModelName]time.Time{},
		fences:  map[fleet.VMID]sighting{},
		outages: map[fleet.VMID]*outages{},
	}
}

// Update notes what is new in an input; its own History is not looked at.
func (h *History) Update(in Input) {
	for fencing, record := range in.Fold.groups {
		h.noteGroup(fencing, record, in)
	}
	dropGone(h.formed, in.Fold)
	dropGone(h.ready, in.Fold)
	dropGone(h.idling, in.Fold)
	h.noteFences(in)
	h.dropForgotten(in.Fold)
	h.noteOutages(in)
	h.noteShort(in)
}

func (h *History) noteGroup(fencing fleet.FencingNumber, record *Record, in Input) {
	noteFirst(h.formed, fencing, in.Now)
	if record.IsReady() {
		noteFirst(h.ready, fencing, in.Now)
	}
	if record.Draining || anyLeaving(record, in.World) {
		noteFirst(h.idling, fencing, in.Now)
		return
	}
	delete(h.idling, fencing)
}

func (h *History) noteFences(in Input) {
	for vm, state := range in.Fold.vms {
		if seen, ok := h.fences[vm]; !ok || seen.fence != state.Fence {
			h.fences[vm] = sighting{fence: state.Fence, at: in.Now}
		}
	}
}

func (h *History) noteOutages(in Input) {
	for vm, observation := range in.World.Observations {
		if h.outages[vm] == nil {
			h.outages[vm] = &outages{}
		}
		h.outages[vm].note(observation, in.Now, in.Bounds.ReportBound)
	}
	for vm := range h.outages {
		if _, ok := in.World.Observations[vm]; !ok {
			delete(h.outages, vm)
		}
	}
}

// dropForgotten forgets the VMs that the fold no longer knows.
func (h *History) dropForgotten(fold *Fold) {
	for vm := range h.fences {
		if _, ok := fold.vms[vm]; !ok {
			delete(h.fences, vm)
		}
	}
}

// noteShort notes since when a model has had too few complete groups.
func (h *History) noteShort(in Input) {
	complete := map[fleet.ModelName]int{}
	for _, record := range in.Fold.groups {
		if Check(record, in.World, in.Now, in.Bounds.ReportBound) == Complete {
			complete[record.Model]++
		}
	}
	for _, model := range in.Config.Models {
		if complete[model.Name] >= model.ReplicasIn(in.DataCentre) {
			delete(h.short, model.Name)
			continue
		}
		noteFirst(h.short, model.Name, in.Now)
	}
}

func noteFirst[K comparable](times map[K]time.Time, key K, now time.Time) {
	if _, ok := times[key]; !ok {
		times[key] = now
	}
}

func dropGone(times map[fleet.FencingNumber]time.Time, fold *Fold) {
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

// Rested reports whether a free VM may be named in a form: no order of its
// former group can be under way any more.
func (h *History) Rested(fold *Fold, vm fleet.VMID, now time.Time) bool {
	state := fold.VM(vm)
	if state.RestMillis == 0 {
		return true
	}
	seen, ok := h.fences[vm]
	rest := time.Duration(state.RestMillis) * time.Millisecond
	return ok && seen.fence == state.Fence && now.Sub(seen.at) >= rest
}

// since returns how long ago a time of a map was noted; zero if never.
func since[K comparable](times map[K]time.Time, key K, now time.Time) time.Duration {
	at, ok := times[key]
	if !ok {
		return 0
	}
	return now.Sub(at)
}
