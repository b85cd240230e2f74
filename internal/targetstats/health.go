package targetstats

import "time"

const (
	failureBackoff    = 400 * time.Millisecond // backoff after the first failure; it doubles with each further one
	maxFailureBackoff = 3 * time.Second
	downThreshold     = 3 // consecutive failures after which a target is down
)

// ObserveFailure records a failure of the target itself.
func (m *Meter) ObserveFailure(now time.Time) {
	m.failures.Add(1)
	m.failedAt.Store(now.UnixNano())
}

// ObserveStreamBreak records that a stream's connection broke. This does not show that
// the target failed: the connections of many streams may be reset at once.
func (m *Meter) ObserveStreamBreak(now time.Time) { m.streamBrokeAt.Store(now.UnixNano()) }

// RecentlyInterrupted reports whether a stream broke recently and no daemon has
// reported an event since, so that the target may have terminated.
func (m *Meter) RecentlyInterrupted(now time.Time) bool {
	broke := m.streamBrokeAt.Load()
	if broke == 0 || now.Sub(time.Unix(0, broke)) >= failureBackoff {
		return false
	}
	return m.newestEvent() <= broke
}

// ObserveSuccess records a complete answer.
func (m *Meter) ObserveSuccess(at time.Time) {
	if at.UnixNano() > m.lastEvent.Load() {
		m.lastEvent.Store(at.UnixNano())
	}
	if m.failures.Load() != 0 && m.failedAt.Load() <= at.UnixNano() {
		m.failures.Store(0)
	}
}

// ForgetFailures drops the failures and the suspicion of the target.
func (m *Meter) ForgetFailures() {
	m.failures.Store(0)
	m.streamBrokeAt.Store(0)
	m.suspectedUntil.Store(0)
}

// Suspect marks the target as suspected of being silent for the given duration from
// now on, or until its next event.
func (m *Meter) Suspect(now time.Time, duration time.Duration) {
	m.SuspectSince(now, now.Add(duration))
}

// SuspectSince marks the target as suspected until a time, because of what was seen at since. An
// event after that refutes it, also one that has come already.
func (m *Meter) SuspectSince(since, until time.Time) {
	if m.suspectedUntil.Load() < until.UnixNano() {
		m.suspectedAt.Store(max(m.suspectedAt.Load(), since.UnixNano()))
		m.suspectedUntil.Store(until.UnixNano())
	}
}

// Suspected reports whether the target is suspected of being silent, by this daemon
// or another one. An event of the target ends the suspicion.
func (m *Meter) Suspected(now time.Time) bool {
	return m.suspectedUntil.Load() > now.UnixNano() && m.newestEvent() <= m.suspectedAt.Load()
}

// Down reports whether the target must not be used: it failed downThreshold times in
// a row, and either the backoff after the last failure has not elapsed or a request
// is in progress, so that a target is tried again with one request at a time.
func (m *Meter) Down(now time.Time) bool {
	return m.failures.Load() >= downThreshold && (m.InBackoff(now) || m.inFlight.Load() > 0)
}

// InBackoff reports whether the target should not be chosen while there are others: the
// backoff after its last failure has not elapsed. The backoff grows exponentially
// with consecutive failures.
func (m *Meter) InBackoff(now time.Time) bool {
	failures := m.failures.Load()
	if failures == 0 {
		return false
	}
	pause := min(failureBackoff<<min(failures-1, 4), maxFailureBackoff)
	return now.Sub(time.Unix(0, m.failedAt.Load())) < pause
}
