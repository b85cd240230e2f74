package targetstats

import (
	"sync"
	"sync/atomic"
	"time"
)

// noLimit is the value of a limit that an endpoint no longer names.
const noLimit = -1

// Limit bounds the requests of this daemon to one incarnation of an endpoint, from two sources:
// the limit that the endpoint has named in its answers, and the limit while it is cold. Each is for
// the requests of all daemons together and admits this daemon's share of them; a request needs a
// token of both. A nil Limit admits all. It is safe for concurrent use.
type Limit struct {
	active atomic.Bool // a limit is named
	cold   atomic.Bool // the endpoint is cold, or was when it was last looked at

	skips *atomic.Uint64 // requests that passed over a cold endpoint, of all limits

	mu        sync.Mutex
	named     float64 // requests per second of all daemons, or noLimit
	version   uint64  // number of the value: a later one replaces those before it at all daemons
	changedAt time.Time
	learntAt  time.Time // when this daemon learnt the value
	tokens    bucket    // for the named limit
	coldUntil time.Time
	coldShare bucket // for the limit while the endpoint is cold
}

func newLimit(skips *atomic.Uint64) *Limit { return &Limit{named: noLimit, skips: skips} }

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
		l.tokens.reset()
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

// SetShare sets the rate of this daemon under the named limit, in requests per second.
func (l *Limit) SetShare(rate float64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tokens.setRate(rate, now)
}

// Admits reports whether a request may be sent now.
func (l *Limit) Admits(now time.Time) bool {
	if !l.inForce() {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.admits(now)
}

// Take records a request that is sent. It returns false if none may be sent now.
func (l *Limit) Take(now time.Time) bool {
	if !l.inForce() {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.admits(now) {
		return false
	}
	if l.named != noLimit {
		l.tokens.tokens--
	}
	if l.isCold(now) {
		l.coldShare.tokens--
	}
	return true
}

// Wait returns how long it takes until a request may be sent, 0 if it may be sent now or if this
// daemon has no share of the named limit.
func (l *Limit) Wait(now time.Time) time.Duration {
	if !l.inForce() {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	wait := l.coldWait(now)
	if l.named != noLimit {
		wait = max(wait, l.tokens.wait(now))
	}
	return wait
}

// inForce reports whether there may be a limit.
func (l *Limit) inForce() bool { return l != nil && (l.active.Load() || l.cold.Load()) }

func (l *Limit) admits(now time.Time) bool {
	if l.named != noLimit && !l.tokens.has(now) {
		return false
	}
	if l.isCold(now) && !l.coldShare.has(now) {
		l.skips.Add(1)
		return false
	}
	return true
}
