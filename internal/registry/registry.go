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

// Decoder reads an entry. An entry that it refuses names no endpoint.
type Decoder func(id string, value []byte) (Endpoint, error)

// Registry follows the entries of the endpoints.
type Registry struct {
	decode   Decoder
	grace    Grace
	logger   *slog.Logger
	onChange func()

	mu         sync.Mutex
	graceUntil time.Time
	refused    map[string]bool // IDs whose entry was refused, logged once
	current    atomic.Pointer[Snapshot]
}

// New returns an empty registry.
func New(decode Decoder, grace Grace, logger *slog.Logger, onChange func()) *Registry {
	r := &Registry{decode: decode, grace: grace, logger: logger, onChange: onChange, refused: map[string]bool{}}
	r.current.Store(emptySnapshot())
	return r
}

// Load returns the newest snapshot.
func (r *Registry) Load() *Snapshot { return r.current.Load() }

// Apply takes what a follower read.
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

// Expire drops the endpoints whose entries did not come back in time.
func (r *Registry) Expire(now time.Time) {
	if r.expire(now) {
		r.onChange()
	}
}

// expire reports whether an endpoint was dropped.
func (r *Registry) expire(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.current.Load().ByID
	next := maps.Clone(old)
	maps.DeleteFunc(next, func(id string, e *Endpoint) bool {
		over := e.Lapsed() && !now.Before(e.LapsedUntil)
		if over {
			r.logGone(e, "entry missing after an outage of the store")
		}
		return over
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
		r.refuse(record, err)
		return
	}
	delete(r.refused, record.Key)
	endpoint.Seen = batch.At
	old := next[endpoint.ID]
	endpoint.Appeared = batch.At
	if old != nil && old.Born == endpoint.Born {
		endpoint.Appeared = old.Appeared
	}
	r.logChange(old, &endpoint, record.Offset)
	next[endpoint.ID] = &endpoint
}

// drop removes an endpoint, or only marks it when the store was away lately:
// the entry may be back in a moment. What is missing when the store is back has
// lapsed meanwhile; what is removed later may be leaving on purpose, and is given
// no request for long.
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
	if late := now.Add(r.grace.Removed); batch.Regained == 0 && late.Before(r.graceUntil) {
		lapsed.LapsedUntil = late
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

func (r *Registry) refuse(record keyed.Record, err error) {
	if r.refused[record.Key] {
		return
	}
	r.refused[record.Key] = true
	r.logger.Warn("endpoint entry refused", "endpoint", record.Key, "offset", record.Offset, "error", err)
}

func (r *Registry) logGone(e *Endpoint, reason string) {
	r.logger.Info("endpoint gone", "endpoint", e.ID, "address", e.Address, "reason", reason, "age_ms", time.Since(e.Seen).Milliseconds())
}

func (r *Registry) logChange(old, e *Endpoint, offset uint64) {
	switch {
	case old == nil:
		r.logger.Info("endpoint appeared", "endpoint", e.ID, "service", e.Service, "address", e.Address, "domain", e.Domain, "offset", offset)
	case old.Born != e.Born:
		r.logger.Info("endpoint started anew", "endpoint", e.ID, "address", e.Address, "offset", offset)
	case old.Draining != e.Draining:
		r.logger.Info("endpoint leaving", "endpoint", e.ID, "draining", e.Draining, "offset", offset)
	}
}

func index(byID map[string]*Endpoint) *Snapshot {
	snapshot := &Snapshot{ByID: byID, ByService: map[string][]*Endpoint{}}
	for _, endpoint := range byID {
		snapshot.ByService[endpoint.Service] = append(snapshot.ByService[endpoint.Service], endpoint)
	}
	for _, of := range snapshot.ByService {
		slices.SortFunc(of, func(a, b *Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	}
	return snapshot
}
