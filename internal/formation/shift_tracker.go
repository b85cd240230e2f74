package formation

import (
	"maps"
	"slices"
	"time"

	"github.com/plantainmux/plantainmux/internal/apportion"
	"github.com/plantainmux/plantainmux/internal/ledger"
)

// ShiftTracker derives the ShiftHistory from the ledger and from past plans. The zero value has seen
// nothing. It is used by one goroutine.
type ShiftTracker struct {
	history ShiftHistory
	// models holds the model that each endpoint was last granted for, by ID. An entry stays when the
	// endpoint is released, so that it is known what the endpoint served before.
	models map[string]string
}

// Observe records whether groups have been formed from groups of another model. What happened
// before the first call is not known, so that it counts as a change.
func (t *ShiftTracker) Observe(groups *ledger.State, now time.Time) {
	if t.models == nil {
		t.models = map[string]string{}
		t.history.LastChange = now
	}
	for _, record := range groups.Groups {
		for _, member := range record.Members {
			if model, known := t.models[member.ID]; known && model != record.Model && t.replaces(record) {
				t.history.LastChange = now
			}
		}
	}
	for _, record := range groups.Groups {
		for _, member := range record.Members {
			t.models[member.ID] = record.Model
		}
	}
}

// ObserveEvacuated records which data centres are evacuated, sorted by name. If others are than before,
// changes start anew to pay off: what paid off until now did so with other groups.
func (t *ShiftTracker) ObserveEvacuated(dataCentres []string) {
	if !slices.Equal(dataCentres, t.history.Evacuated) {
		t.history.Evacuated, t.history.Paying = dataCentres, nil
	}
}

// Review records which changes pay off now, by service.
func (t *ShiftTracker) Review(paying map[string]apportion.Change, now time.Time) {
	next := map[string]PayingService{}
	for service, change := range paying {
		known := t.history.Paying[service]
		if known.From != change.From || known.To != change.To {
			known = PayingService{From: change.From, To: change.To, Since: now}
		}
		next[service] = known
	}
	t.history.Paying = next
}

// Load returns the history up to now.
func (t *ShiftTracker) Load() ShiftHistory {
	return ShiftHistory{LastChange: t.history.LastChange, Paying: maps.Clone(t.history.Paying), Evacuated: t.history.Evacuated}
}

// replaces reports whether a group is formed from groups of another model that are closed for it.
// Groups that are formed from free endpoints after losses are no such change.
func (t *ShiftTracker) replaces(record *ledger.Record) bool {
	for _, former := range record.Former {
		if model, known := t.models[former.Head.ID]; former.Drain && known && model != record.Model {
			return true
		}
	}
	return false
}
