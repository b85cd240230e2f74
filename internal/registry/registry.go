package registry

import (
	"cmp"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/plantainmux/plantainmux/internal/keyed"
)

// departedRetention is how long it is known that an endpoint has departed: much longer than the
// age of a copy that the store may come back from, and than an endpoint takes to leave.
const departedRetention = 10 * time.Minute

// Decoder decodes an entry. An entry for which it returns an error is ignored.
type Decoder func(id string, value []byte) (Endpoint, error)

// Registry maintains a snapshot of the endpoints from their entries in the store.
type Registry struct {
	decode       Decoder
	gracePeriods GracePeriods
	logger       *slog.Logger
	onChange     func()

	mu         sync.Mutex
	graceUntil time.Time
	read       bool                   // the entries have been read once
	invalid    map[string]bool        // IDs whose current entry is invalid; each is logged once
	departed   map[string]departure   // removed endpoints, by ID
	leaving    map[string]leavingMark // by ID
	current    atomic.Pointer[Snapshot]
}

// New returns an empty registry. onChange is called after each change.
func New(decode Decoder, gracePeriods GracePeriods, logger *slog.Logger, onChange func()) *Registry {
	r := &Registry{decode: decode, gracePeriods: gracePeriods, logger: logger, onChange: onChange, invalid: map[string]bool{}, departed: map[string]departure{}, leaving: map[string]leavingMark{}}
	r.current.Store(emptySnapshot())
	return r
}

// Load returns the latest snapshot.
func (r *Registry) Load() *Snapshot { return r.current.Load() }

// Apply merges a batch of entries that a follower has read.
func (r *Registry) Apply(batch keyed.Batch) {
	if batch.Empty() {
		return
	}
	r.mu.Lock()
	if batch.OutageDuration > 0 || batch.Restored {
		r.graceUntil = time.Now().Add(r.gracePeriods.Lapsed)
	}
	next := maps.Clone(r.current.Load().ByID)
	if batch.Complete {
		r.dropMissing(next, batch)
	}
	for _, record := range batch.Records {
		r.applyRecord(next, record, batch)
	}
	r.current.Store(index(next))
	r.read = true
	r.mu.Unlock()
	r.onChange()
}

// Expire removes the endpoints whose grace period has ended without a new entry.
func (r *Registry) Expire(now time.Time) {
	if r.expire(now) {
		r.onChange()
	}
}

// expire removes expired endpoints and reports whether there were any.
func (r *Registry) expire(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forgetDeparted(now)
	expired := func(_ string, e *Endpoint) bool {
		return e.Lapsed() && !now.Before(e.LapsedUntil.Add(r.gracePeriods.Standstills.Stood(e.LapsedAt, now)))
	}
	old := r.current.Load().ByID
	found := false
	for id, e := range old {
		if expired(id, e) {
			r.logGone(e, "entry still missing after a store outage")
			r.departed[id] = departure{last: e, at: now}
			found = true
		}
	}
	if !found {
		return false
	}
	next := maps.Clone(old)
	maps.DeleteFunc(next, expired)
	r.current.Store(index(next))
	return true
}

// forgetDeparted drops what is known of endpoints that departed long ago.
func (r *Registry) forgetDeparted(now time.Time) {
	maps.DeleteFunc(r.departed, func(_ string, d departure) bool { return now.Sub(d.at) > departedRetention })
	maps.DeleteFunc(r.leaving, func(id string, mark leavingMark) bool {
		return now.Sub(mark.at) > departedRetention && r.current.Load().ByID[id] == nil
	})
}

func (r *Registry) applyRecord(next map[string]*Endpoint, record keyed.Record, batch keyed.Batch) {
	if record.Value == nil {
		r.drop(next, record.Key, batch)
		return
	}
	endpoint, err := r.decode(record.Key, record.Value)
	if err != nil {
		r.logInvalid(record, err)
		return
	}
	delete(r.invalid, record.Key)
	old := next[endpoint.ID]
	if last, known := r.lastEntry(old, endpoint.ID); known && last.supersedes(&endpoint, time.Now()) {
		r.logger.Info("older endpoint entry ignored", "endpoint", endpoint.ID, "incarnation", endpoint.Incarnation, "sequence", endpoint.Sequence,
			"last_incarnation", last.incarnation, "last_sequence", last.sequence, "removed", last.removed, "offset", record.Offset, "era", batch.Era)
		return
	}
	departed := r.departed[endpoint.ID].last
	delete(r.departed, endpoint.ID)
	if r.isLeaving(&endpoint) {
		endpoint.Draining = true
	}
	endpoint.LastSeen = batch.StartedAt
	endpoint.FirstSeen = batch.StartedAt
	if old != nil && old.Incarnation == endpoint.Incarnation {
		endpoint.FirstSeen = old.FirstSeen
	}
	endpoint.noteCold(cmp.Or(old, departed), !r.read, time.Now())
	r.logChange(old, &endpoint, record.Offset)
	next[endpoint.ID] = &endpoint
}

// drop removes an endpoint or, shortly after a store outage, only marks it as
// lapsed, because its entry may be written again within moments. An entry that is
// missing when the store becomes reachable expired during the outage. One that is
// removed later may belong to an endpoint that is shutting down, which must not
// receive requests for long, so its grace period is shorter.
func (r *Registry) drop(next map[string]*Endpoint, id string, batch keyed.Batch) {
	known := next[id]
	if known == nil {
		return
	}
	now := time.Now()
	if known.Draining || !now.Before(r.graceUntil) {
		r.logGone(known, "entry removed")
		r.departed[id] = departure{last: known, at: now}
		delete(next, id)
		return
	}
	lapsed := *known
	lapsed.LapsedAt, lapsed.LapsedUntil = now, r.graceUntil
	if removedUntil := now.Add(r.gracePeriods.Removed); batch.OutageDuration == 0 && !batch.Restored && removedUntil.Before(r.graceUntil) {
		lapsed.LapsedUntil = removedUntil
	}
	next[id] = &lapsed
}

// lastEntry returns the latest entry of an endpoint, which is current or has been removed, and whether one is known.
func (r *Registry) lastEntry(current *Endpoint, id string) (lastEntry, bool) {
	if current != nil {
		return lastEntry{incarnation: current.Incarnation, sequence: current.Sequence, knownAt: current.LastSeen}, true
	}
	gone, known := r.departed[id]
	if !known {
		return lastEntry{}, false
	}
	return lastEntry{incarnation: gone.last.Incarnation, sequence: gone.last.Sequence, knownAt: gone.at, removed: true}, true
}

func (r *Registry) dropMissing(next map[string]*Endpoint, batch keyed.Batch) {
	present := make(map[string]bool, len(batch.Records))
	for _, record := range batch.Records {
		present[record.Key] = true
	}
	for id := range next {
		if !present[id] {
			r.drop(next, id, batch)
		}
	}
}

func (r *Registry) isLeaving(e *Endpoint) bool {
	mark, marked := r.leaving[e.ID]
	return marked && mark.incarnation == e.Incarnation
}

// MarkLeaving records that an incarnation of an endpoint has announced that it is leaving. It
// gets no new work from now on, whatever its entry says. It reports whether this was news.
func (r *Registry) MarkLeaving(id string, incarnation int64) bool {
	if !r.markLeaving(id, incarnation) {
		return false
	}
	r.onChange()
	return true
}

// markLeaving marks an endpoint and reports whether it was not marked yet.
func (r *Registry) markLeaving(id string, incarnation int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.current.Load().ByID[id]
	if mark, marked := r.leaving[id]; marked && mark.incarnation >= incarnation || known != nil && known.Incarnation > incarnation {
		return false
	}
	r.leaving[id] = leavingMark{incarnation: incarnation, at: time.Now()}
	r.logger.Info("endpoint announced that it is leaving", "endpoint", id, "incarnation", incarnation)
	if known == nil || known.Incarnation != incarnation {
		return true
	}
	leaving := *known
	leaving.Draining = true
	next := maps.Clone(r.current.Load().ByID)
	next[id] = &leaving
	r.current.Store(index(next))
	return true
}

func (r *Registry) logInvalid(record keyed.Record, err error) {
	if r.invalid[record.Key] {
		return
	}
	r.invalid[record.Key] = true
	r.logger.Warn("invalid endpoint entry ignored", "endpoint", record.Key, "offset", record.Offset, "error", err)
}

func (r *Registry) logGone(e *Endpoint, reason string) {
	r.logger.Info("endpoint removed", "endpoint", e.ID, "address", e.Address, "reason", reason, "age_ms", time.Since(e.LastSeen).Milliseconds())
}

func (r *Registry) logChange(old, e *Endpoint, offset uint64) {
	switch {
	case old == nil:
		r.logger.Info("endpoint registered", "endpoint", e.ID, "service", e.Service, "address", e.Address, "domain", e.Domain, "offset", offset)
	case old.Incarnation != e.Incarnation:
		r.logger.Info("endpoint restarted", "endpoint", e.ID, "address", e.Address, "offset", offset)
	case old.Draining != e.Draining:
		r.logger.Info("endpoint draining state changed", "endpoint", e.ID, "draining", e.Draining, "offset", offset)
	}
}

func index(byID map[string]*Endpoint) *Snapshot {
	snapshot := &Snapshot{ByID: byID, ByService: map[string][]*Endpoint{}}
	for _, endpoint := range byID {
		snapshot.ByService[endpoint.Service] = append(snapshot.ByService[endpoint.Service], endpoint)
	}
	for _, endpoints := range snapshot.ByService {
		slices.SortFunc(endpoints, func(a, b *Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	}
	return snapshot
}
