package exchange

import (
	"sync"
	"time"
)

const (
	failedRetention = 10 * time.Second       // longer than the timeouts of callers
	publishPeriod   = 500 * time.Millisecond // long enough for a request to be in several datagrams
	maxPublished    = 512                    // requests per datagram
)

// Returns tracks requests that ended without an answer, by the lower 32 bits of their
// fingerprints. Callers retry them at any daemon, and the answer is then late. The
// remaining time of a request does not identify a retry: timeouts of callers differ
// by more than the delay of their retries.
type Returns struct {
	known sync.Map // time.Time at which this daemon learned of the request, by uint32

	mu  sync.Mutex
	own []failedRequest
}

type failedRequest struct {
	request uint32
	at      time.Time
}

// NewReturns returns an empty Returns.
func NewReturns() *Returns { return &Returns{} }

// Note records a request that this daemon ended without an answer.
func (r *Returns) Note(fingerprint uint64, now time.Time) {
	request := uint32(fingerprint)
	r.known.Store(request, now)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.own = append(r.own, failedRequest{request, now})
}

// Hear records requests that other daemons ended without an answer.
func (r *Returns) Hear(requests []uint32, now time.Time) {
	for _, request := range requests {
		r.known.LoadOrStore(request, now)
	}
}

// Has reports whether the request ended without an answer within the retention
// period.
func (r *Returns) Has(fingerprint uint64, now time.Time) bool {
	at, known := r.known.Load(uint32(fingerprint))
	return known && now.Sub(at.(time.Time)) < failedRetention
}

// Told returns the requests to publish to the other daemons: those that this daemon
// ended within publishPeriod, only the newest maxPublished of them.
func (r *Returns) Told(now time.Time) []uint32 {
	r.mu.Lock()
	defer r.mu.Unlock()
	fresh := r.own[:0]
	for _, e := range r.own {
		if now.Sub(e.at) < publishPeriod {
			fresh = append(fresh, e)
		}
	}
	r.own = fresh
	var told []uint32
	for _, e := range fresh[max(0, len(fresh)-maxPublished):] {
		told = append(told, e.request)
	}
	return told
}

// Forget removes requests whose retention period is over.
func (r *Returns) Forget(now time.Time) {
	r.known.Range(func(request, at any) bool {
		if now.Sub(at.(time.Time)) >= failedRetention {
			r.known.Delete(request)
		}
		return true
	})
}
