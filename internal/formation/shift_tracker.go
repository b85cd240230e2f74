package formation

import (
	"maps"
	"time"

	"github.com/plantainmux/plantainmux/internal/apportion"
	"github.com/plantainmux/plantainmux/internal/ledger"
)

// ShiftTracker derives the ShiftHistory from the ledger and from past plans. The zero value has seen
// nothing. It is used by one goroutine.
type ShiftTracker struct {
	history ShiftHistory
	models  map[string]string // model of the last record of each group, by name; kept when the group is deleted
}

// Observe records the groups of the ledger that have changed their model. What happened before the
// first call is not known, so that it counts as a change.
func (t *ShiftTracker) Observe(groups *ledger.State, now time.Time) {
	if t.models == nil {
		t.models = map[string]string{}
		t.history.LastChange = now
	}
	for name, record := range groups.Groups {
		if model, known := t.models[name]; known && model != record.Model {
			t.history.LastChange = now
		}
		t.models[name] = record.Model
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
	return ShiftHistory{LastChange: t.history.LastChange, Paying: maps.Clone(t.history.Paying)}
}
