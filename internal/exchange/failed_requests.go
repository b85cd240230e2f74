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

// FailedRequests tracks requests that ended without an answer, by the lower 32 bits of
// their fingerprints. Callers retry them at any daemon, and the answer is then late.
// The remaining time of a request does not identify a retry: timeouts of callers
// differ by more than the delay of their retries.
type FailedRequests struct {
	known sync.Map // time.Time at which this daemon learned of the request, by uint32

	mu    sync.Mutex
	local []failedRequest
}

type failedRequest struct {
	request uint32
	at      time.Time
}

// NewFailedRequests returns an empty FailedRequests.
func NewFailedRequests() *FailedRequests { return &FailedRequests{} }

// Record records a request that this daemon ended without an answer.
func (f *FailedRequests) Record(fingerprint uint64, now time.Time) {
	request := uint32(fingerprint)
	f.known.Store(request, now)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.local = append(f.local, failedRequest{request, now})
}

// RecordRemote records requests that other daemons ended without an answer.
func (f *FailedRequests) RecordRemote(requests []uint32, now time.Time) {
	for _, request := range requests {
		f.known.LoadOrStore(request, now)
	}
}

// Contains reports whether the request ended without an answer within the retention
// period.
func (f *FailedRequests) Contains(fingerprint uint64, now time.Time) bool {
	at, known := f.known.Load(uint32(fingerprint))
	return known && now.Sub(at.(time.Time)) < failedRetention
}

// Recent returns the requests to publish to the other daemons: those that this daemon
// ended within publishPeriod, only the newest maxPublished of them.
func (f *FailedRequests) Recent(now time.Time) []uint32 {
	f.mu.Lock()
	defer f.mu.Unlock()
	fresh := f.local[:0]
	for _, e := range f.local {
		if now.Sub(e.at) < publishPeriod {
			fresh = append(fresh, e)
		}
	}
	f.local = fresh
	var recent []uint32
	for _, e := range fresh[max(0, len(fresh)-maxPublished):] {
		recent = append(recent, e.request)
	}
	return recent
}

// Prune removes requests whose retention period is over.
func (f *FailedRequests) Prune(now time.Time) {
	f.known.Range(func(request, at any) bool {
		if now.Sub(at.(time.Time)) >= failedRetention {
			f.known.Delete(request)
		}
		return true
	})
}
