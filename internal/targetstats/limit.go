package targetstats

import (
	"sync"
	"sync/atomic"
	"time"
)

// noLimit is the value of a limit that an endpoint no longer names.
const noLimit = -1

// maxLimitTokens is the number of requests that a daemon may send at once after a pause. With
// LimitShare it bounds what all daemons together send at once.
const maxLimitTokens = 1

// Limit holds the limit that one incarnation of an endpoint has named for the requests of all
// daemons together, and admits this daemon's share of them. A nil Limit admits all. It is safe for
// concurrent use.
type Limit struct {
	active atomic.Bool // a limit is named

	mu         sync.Mutex
	named      float64 // requests per second of all daemons, or noLimit
	version    uint64  // number of the value: a later one replaces those before it at all daemons
	changedAt  time.Time
	learntAt   time.Time // when this daemon learnt the value
	rate       float64   // requests per second of this daemon
	tokens     float64
	refilledAt time.Time
}

func newLimit() *Limit { return &Limit{named: noLimit} }

// Observe records that the endpoint named a limit, in requests per second. It reports whether
// that is news.
func (l *Limit) Observe(limit float64, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.named == limit {
		return false
	}
	l.set(limit, l.version+1, now)
	return true
}

// ObserveNone records an answer that names no limit to a request that was sent at a time. It
// ends a limit that was known by then; an answer to an earlier request may be older than the limit.
// It reports whether that is news.
func (l *Limit) ObserveNone(sentAt, now time.Time) bool {
	if l == nil || !l.active.Load() {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.named == noLimit || !sentAt.After(l.learntAt) {
		return false
	}
	l.set(noLimit, l.version+1, now)
	return true
}

// merge adopts the value that another daemon reports if it is later, or as late and stricter. It
// repeats its own to the others if that is later.
func (l *Limit) merge(report LimitReport, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	stricter := report.PerS != noLimit && (l.named == noLimit || report.PerS < l.named)
	switch {
	case report.Version > l.version, report.Version == l.version && stricter:
		l.set(report.PerS, report.Version, now)
	case report.Version < l.version:
		l.changedAt = now
	}
}

func (l *Limit) set(limit float64, version uint64, now time.Time) {
	if l.named == noLimit {
		l.tokens, l.rate = 0, 0
	}
	l.named, l.version, l.changedAt, l.learntAt = limit, version, now, now
	l.active.Store(limit != noLimit)
}

// Named returns the limit in requests per second, and whether there is one.
func (l *Limit) Named() (float64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.named, l.named != noLimit
}

// SetShare sets the rate of this daemon, in requests per second.
func (l *Limit) SetShare(rate float64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refill(now)
	l.rate = rate
	if rate == 0 {
		l.tokens = 0
	}
}

// Admits reports whether a request may be sent now.
func (l *Limit) Admits(now time.Time) bool {
	if l == nil || !l.active.Load() {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refill(now)
	return l.tokens >= 1
}

// Take records a request that is sent. It returns false if none may be sent now.
func (l *Limit) Take(now time.Time) bool {
	if l == nil || !l.active.Load() {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refill(now)
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}

// Wait returns how long it takes until a request may be sent, 0 if it may be sent now or if this
// daemon has no share.
func (l *Limit) Wait(now time.Time) time.Duration {
	if l == nil || !l.active.Load() {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refill(now)
	if l.tokens >= 1 || l.rate == 0 {
		return 0
	}
	return time.Duration((1 - l.tokens) / l.rate * float64(time.Second))
}

func (l *Limit) refill(now time.Time) {
	if elapsed := now.Sub(l.refilledAt); elapsed > 0 && !l.refilledAt.IsZero() {
		l.tokens = min(l.tokens+l.rate*elapsed.Seconds(), maxLimitTokens)
	}
	l.refilledAt = now
}
