package admit

import "time"

const (
	// loneGrowth is the part of the capacity that a lone daemon takes over in a
	// second.
	loneGrowth = 0.05
	// loneFull and loneOthers are parts of the capacity: with more in use, and
	// more of it by others, a lone daemon falls back to its floor.
	loneFull   = 0.95
	loneOthers = 0.1
)

// lone decides how much a daemon that hears no other takes beyond its floor.
// The engines' late reports tell it whether others still use the capacity: it
// grows slowly while there is room, and falls back at once when there is none.
type lone struct {
	extra float64 // part of the capacity beyond the floor
	at    time.Time
}

// grow returns the part beyond the floor at now. used is what runs by the
// engines' reports, own what runs for this daemon.
func (l *lone) grow(capacity, used, own int, now time.Time) float64 {
	elapsed := now.Sub(l.at)
	if l.at.IsZero() {
		elapsed = 0
	}
	l.at = now
	others := float64(used - own)
	if float64(used) >= loneFull*float64(capacity) && others > loneOthers*float64(capacity) {
		l.extra = 0
		return 0
	}
	l.extra = min(l.extra+loneGrowth*elapsed.Seconds(), 1)
	return l.extra
}

// reset begins at the floor again.
func (l *lone) reset() { *l = lone{} }
