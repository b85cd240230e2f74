package rhythm

import "time"

const (
	failureBase  = 400 * time.Millisecond // for which a target is passed over after a failure
	failureMax   = 3 * time.Second
	downFailures = 3 // in a row
)

// Fail notes a failure of the target itself.
func (m *Meter) Fail(now time.Time) {
	m.failures.Add(1)
	m.failedAt.Store(now.UnixNano())
}

// Broke notes that a stream's connection broke. Alone it does not tell the target's
// end from that of the connection: those of many streams may be reset at once.
func (m *Meter) Broke(now time.Time) { m.brokeAt.Store(now.UnixNano()) }

// Shaken reports whether a stream broke just now and no daemon has told of an event
// since, so that the target may have ended.
func (m *Meter) Shaken(now time.Time) bool {
	broke := m.brokeAt.Load()
	if broke == 0 || now.Sub(time.Unix(0, broke)) >= failureBase {
		return false
	}
	return m.newestEvent() <= broke
}

// Succeed notes a whole answer.
func (m *Meter) Succeed(now time.Time) {
	m.lastEvent.Store(now.UnixNano())
	if m.failures.Load() != 0 {
		m.failures.Store(0)
	}
}

// Suspect makes the target be passed over for a time from now on, unless it brings an
// event meanwhile.
func (m *Meter) Suspect(now time.Time, length time.Duration) {
	until := now.Add(length).UnixNano()
	if m.suspected.Load() < until {
		m.suspectAt.Store(now.UnixNano())
		m.suspected.Store(until)
	}
}

// Suspected reports whether the target is held for silent, by this daemon or
// another one. An event of the target ends the suspicion.
func (m *Meter) Suspected(now time.Time) bool {
	return m.suspected.Load() > now.UnixNano() && m.newestEvent() <= m.suspectAt.Load()
}

// Down reports whether the target failed several times in a row, so that it is not
// to be used until the pause after the last failure is over, and then by one
// request at a time.
func (m *Meter) Down(now time.Time) bool {
	return m.failures.Load() >= downFailures && (m.Avoid(now) || m.inFlight.Load() > 0)
}

// Avoid reports whether the target should be passed over while there are
// others: it failed lately, the longer the more often in a row.
func (m *Meter) Avoid(now time.Time) bool {
	failures := m.failures.Load()
	if failures == 0 {
		return false
	}
	pause := min(failureBase<<min(failures-1, 4), failureMax)
	return now.Sub(time.Unix(0, m.failedAt.Load())) < pause
}
