package callerconn

import "time"

// unplacedMemory is how long after the last connection without a place they count: the platform asks every second.
const unplacedMemory = time.Second

// unplaced tells since when no new connection has found a place.
type unplaced struct{ since, last time.Time }

// observe records whether a new connection found a place.
func (u *unplaced) observe(placed bool, now time.Time) {
	switch {
	case placed:
		*u = unplaced{}
	case u.since.IsZero() || now.Sub(u.last) >= unplacedMemory:
		u.since, u.last = now, now
	default:
		u.last = now
	}
}

// persists reports whether connections have found no place for failingPatience, until a moment ago.
func (u unplaced) persists(now time.Time) bool {
	return u.last.Sub(u.since) >= failingPatience && now.Sub(u.last) < unplacedMemory
}
