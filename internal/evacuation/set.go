package evacuation

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/plantainmux/plantainmux/internal/keyed"
)

// Set is the set of data centres that take no requests, as one daemon knows it.
type Set struct {
	prefix string // of the keys in the operators' topic
	mu     sync.Mutex
	state  atomic.Pointer[State]
}

// NewSet returns an empty set. The keys of the operators' records begin with prefix; if it is
// empty, there are none.
func NewSet(prefix string) *Set {
	s := &Set{prefix: prefix}
	s.state.Store(&State{})
	return s
}

// Evacuated reports whether a data centre takes no requests.
func (s *Set) Evacuated(dataCentre string) bool {
	return s.state.Load().dataCentres[dataCentre].evacuated
}

// Count returns the number of data centres that take no requests.
func (s *Set) Count() int {
	count := 0
	for _, known := range s.state.Load().dataCentres {
		if known.evacuated {
			count++
		}
	}
	return count
}

// InForce returns the evacuations in force, sorted by name.
func (s *Set) InForce() []InForce {
	var all []InForce
	for name, known := range s.state.Load().dataCentres {
		if known.evacuated {
			all = append(all, InForce{DataCentre: name, Since: known.changedAt, Source: known.source})
		}
	}
	slices.SortFunc(all, func(a, b InForce) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
	return all
}

// WithdrawnAt returns when this daemon learnt that the latest evacuation of a data centre was
// withdrawn, the zero time if it has learnt of none. It stays when another one is imposed.
func (s *Set) WithdrawnAt(dataCentre string) time.Time {
	return s.state.Load().dataCentres[dataCentre].withdrawnAt
}

// Apply applies a batch of the operators' topic and returns what changed.
func (s *Set) Apply(batch keyed.Batch, now time.Time) []Change {
	return s.update(func(state State) (State, []Change) { return state.Fold(batch, s.prefix, now) })
}

// Merge applies what another daemon reports and returns what changed.
func (s *Set) Merge(reports []Report, now time.Time) []Change {
	if len(reports) == 0 {
		return nil
	}
	return s.update(func(state State) (State, []Change) { return state.Merge(reports, now) })
}

// Settle makes copies from which the store was restored authoritative after HoldPeriod, and returns
// what changed. It is called every tenth of a second.
func (s *Set) Settle(now time.Time) []Change {
	if !s.state.Load().due(now) {
		return nil
	}
	return s.update(func(state State) (State, []Change) { return state.Settle(now) })
}

func (s *Set) update(step func(State) (State, []Change)) []Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	next, changes := step(*s.state.Load())
	s.state.Store(&next)
	return changes
}

// Reports returns what the other daemons have to learn: evacuations in force, and changes of the
// last toldPeriod, the newest first.
func (s *Set) Reports(now time.Time) []Report {
	dataCentres := s.state.Load().dataCentres
	var reports []Report
	for name, known := range dataCentres {
		recent := !known.changedAt.IsZero() && now.Sub(known.changedAt) < toldPeriod
		if (known.evacuated || recent) && !known.unconfirmed && !known.emptyTopic && len(name) <= maxToldName {
			reports = append(reports, Report{DataCentre: name, Ordinal: known.position.Ordinal(), Evacuated: known.evacuated})
		}
	}
	slices.SortFunc(reports, func(a, b Report) int {
		return cmp.Or(dataCentres[b.DataCentre].changedAt.Compare(dataCentres[a.DataCentre].changedAt), cmp.Compare(a.DataCentre, b.DataCentre))
	})
	return reports[:min(len(reports), maxTold)]
}
