package gateway

import (
	"slices"
	"sync"
	"time"
)

const (
	entriesPollInterval = 700 * time.Millisecond // between reads of the endpoint entries
	// While groups that this daemon plans do not match their records, the entries are read when
	// an order is due to take effect and, if it has not, at intervals that grow with the time
	// that has passed: a load takes seconds, a member that has the model at hand a fraction of one.
	minEntriesPollInterval = 100 * time.Millisecond
	overdueDivisor         = 3
	effectMargin           = 15 * time.Millisecond // for an endpoint to write its entry after an order took effect
	effectGrid             = 40 * time.Millisecond // effects that are due within it are seen by one read
)

// entrySchedule decides when the endpoint entries are read next. Reads of the store are charged,
// so that a reader reads when it expects news instead of at short intervals.
type entrySchedule struct {
	converging func() bool

	mu      sync.Mutex
	due     []time.Time // when orders are expected to take effect, ascending
	lastDue time.Time   // latest effect expected so far
}

// expect records that an order takes effect at a time, and reports whether the next read is
// earlier for it.
func (s *entrySchedule) expect(at time.Time) bool {
	at = at.Add(effectMargin).Truncate(effectGrid).Add(effectGrid)
	s.mu.Lock()
	defer s.mu.Unlock()
	if at.After(s.lastDue) {
		s.lastDue = at
	}
	index, found := slices.BinarySearchFunc(s.due, at, time.Time.Compare)
	if found {
		return false
	}
	s.due = slices.Insert(s.due, index, at)
	return index == 0
}

// next returns when the entries are read after a read that started at previous.
func (s *entrySchedule) next(previous time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.due) > 0 && !s.due[0].After(previous) {
		s.due = s.due[1:]
	}
	next := previous.Add(entriesPollInterval)
	if len(s.due) > 0 && s.due[0].Before(next) {
		return s.due[0]
	}
	if len(s.due) == 0 && s.converging() {
		overdue := previous.Sub(s.lastDue) / overdueDivisor
		next = previous.Add(min(max(overdue, minEntriesPollInterval), entriesPollInterval))
	}
	return next
}
