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

// Decoder decodes an entry. An entry for which it returns an error is ignored.
type Decoder func(id string, value []byte) (Endpoint, error)

// Registry maintains a snapshot of the endpoints from their entries in the store.
type Registry struct {
	decode   Decoder
	grace    Grace
	logger   *slog.Logger
	onChange func()

	mu         sync.Mutex
	graceUntil time.Time
	invalid    map[string]bool // IDs whose current entry is invalid; each is logged once
	current    atomic.Pointer[Snapshot]
}

// New returns an empty registry. onChange is called after each change.
func New(decode Decoder, grace Grace, logger *slog.Logger, onChange func()) *Registry {
	r := &Registry{decode: decode, grace: grace, logger: logger, onChange: onChange, invalid: map[string]bool{}}
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
	if batch.Regained > 0 {
		r.graceUntil = time.Now().Add(r.grace.Lapsed)
	}
	next := maps.Clone(r.current.Load().ByID)
	if batch.Whole {
		r.dropMissing(next, batch)
	}
	for _, record := range batch.Records {
		r.applyRecord(next, record, batch)
	}
	r.current.Store(index(next))
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
	old := r.current.Load().ByID
	next := maps.Clone(old)
	maps.DeleteFunc(next, func(id string, e *Endpoint) bool {
		expired := e.Lapsed() && !now.Before(e.LapsedUntil)
		if expired {
			r.logGone(e, "entry still missing after a store outage")
		}
		return expired
	})
	if len(next) == len(old) {
		return false
	}
	r.current.Store(index(next))
	return true
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
	endpoint.LastSeen = batch.At
	old := next[endpoint.ID]
	endpoint.FirstSeen = batch.At
	if old != nil && old.Born == endpoint.Born {
		endpoint.FirstSeen = old.FirstSeen
	}
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
		delete(next, id)
		return
	}
	lapsed := *known
	lapsed.LapsedUntil = r.graceUntil
	if removedUntil := now.Add(r.grace.Removed); batch.Regained == 0 && removedUntil.Before(r.graceUntil) {
		lapsed.LapsedUntil = removedUntil
	}
	next[id] = &lapsed
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
	case old.Born != e.Born:
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
