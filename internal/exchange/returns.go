package exchange

import (
	"sync"
	"time"
)

const (
	returnMemory = 10 * time.Second       // for which a failed request is remembered: above the time that callers wait
	returnTold   = 500 * time.Millisecond // for which the other daemons are told of one: several datagrams
	maxTold      = 512                    // requests of one datagram
)

// Returns remembers requests that ended without an answer, by the short form of
// their fingerprints. Their callers come back, to any daemon, and what they get then
// is late. The time that a caller still has does not tell: callers differ in that by
// more than the time after which they come back.
type Returns struct {
	known sync.Map // time.Time by uint32, when this daemon learnt of it

	mu  sync.Mutex
	own []ended
}

type ended struct {
	request uint32
	at      time.Time
}

// NewReturns returns an empty memory.
func NewReturns() *Returns { return &Returns{} }

// Note notes a request that this daemon ended without an answer.
func (r *Returns) Note(fingerprint uint64, now time.Time) {
	request := uint32(fingerprint)
	r.known.Store(request, now)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.own = append(r.own, ended{request, now})
}

// Hear notes requests that other daemons ended.
func (r *Returns) Hear(requests []uint32, now time.Time) {
	for _, request := range requests {
		r.known.LoadOrStore(request, now)
	}
}

// Has reports whether a request has ended without an answer before.
func (r *Returns) Has(fingerprint uint64, now time.Time) bool {
	at, known := r.known.Load(uint32(fingerprint))
	return known && now.Sub(at.(time.Time)) < returnMemory
}

// Told returns the requests that this daemon ended lately, the newest if there are
// too many.
func (r *Returns) Told(now time.Time) []uint32 {
	r.mu.Lock()
	defer r.mu.Unlock()
	fresh := r.own[:0]
	for _, e := range r.own {
		if now.Sub(e.at) < returnTold {
			fresh = append(fresh, e)
		}
	}
	r.own = fresh
	var told []uint32
	for _, e := range fresh[max(0, len(fresh)-maxTold):] {
		told = append(told, e.request)
	}
	return told
}

// Forget drops what is old.
func (r *Returns) Forget(now time.Time) {
	r.known.Range(func(request, at any) bool {
		if now.Sub(at.(time.Time)) >= returnMemory {
			r.known.Delete(request)
		}
		return true
	})
}
