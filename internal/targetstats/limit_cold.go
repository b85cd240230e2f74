package targetstats

import "time"

// MarkCold records that the endpoint is cold until a time. An earlier time than the one that is
// known changes nothing, as what is known of an endpoint may be older than the moment it turned cold.
// While it is cold this daemon sends only what SetColdShare allows, nothing before that is called. It
// reports whether the endpoint counted as warm until now.
func (l *Limit) MarkCold(until, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !until.After(now) {
		return false
	}
	turned := !l.isCold(now)
	if turned {
		l.coldShare.reset()
	}
	if until.After(l.coldUntil) {
		l.coldUntil = until
	}
	l.cold.Store(true)
	return turned
}

// SetColdShare sets the rate at which this daemon may send while the endpoint is cold, in requests
// per second.
func (l *Limit) SetColdShare(rate float64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.coldShare.setRate(rate, now)
}

// Cold reports whether the endpoint is cold.
func (l *Limit) Cold(now time.Time) bool {
	if l == nil || !l.cold.Load() {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.isCold(now)
}

// SkipIfCold reports whether the endpoint is cold, and counts the request that passes it over then.
func (l *Limit) SkipIfCold(now time.Time) bool {
	if !l.Cold(now) {
		return false
	}
	l.skips.Add(1)
	return true
}

// isCold reports whether the endpoint is cold. The caller holds mu.
func (l *Limit) isCold(now time.Time) bool {
	if now.Before(l.coldUntil) {
		return true
	}
	l.cold.Store(false)
	return false
}

// coldWait returns how long it takes until the limit while the endpoint is cold admits a request:
// until there is a token or the endpoint is warm. The caller holds mu.
func (l *Limit) coldWait(now time.Time) time.Duration {
	if !l.isCold(now) || l.coldShare.has(now) {
		return 0
	}
	warm := l.coldUntil.Sub(now)
	if wait := l.coldShare.wait(now); wait > 0 {
		return min(wait, warm)
	}
	return warm
}
