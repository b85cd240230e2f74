package admit

import "time"

const (
	// isolatedGrowthPerS is the part of the capacity that an isolated daemon takes over per
	// second.
	isolatedGrowthPerS = 0.05
	// isolatedFullUse and isolatedOthersUse are parts of the capacity. If more than
	// isolatedFullUse is in use, and others use more than isolatedOthersUse, an isolated
	// daemon falls back to its floor.
	isolatedFullUse   = 0.95
	isolatedOthersUse = 0.1
)

// isolationRamp decides how much capacity beyond its floor a daemon uses while it receives
// no usage from any other daemon. The engines' reports show, with a delay, whether other
// daemons still use the capacity: the part grows slowly while there is free capacity, and
// drops to the floor at once when there is none.
type isolationRamp struct {
	extra float64   // part of the capacity beyond the floor
	at    time.Time // time of the last call of grow
}

// grow returns the part of the capacity beyond the floor at now. used is the number of
// requests in the engines' reports, own the number of this daemon's requests.
func (r *isolationRamp) grow(capacity, used, own int, now time.Time) float64 {
	elapsed := now.Sub(r.at)
	if r.at.IsZero() {
		elapsed = 0
	}
	r.at = now
	others := float64(used - own)
	if float64(used) >= isolatedFullUse*float64(capacity) && others > isolatedOthersUse*float64(capacity) {
		r.extra = 0
		return 0
	}
	r.extra = min(r.extra+isolatedGrowthPerS*elapsed.Seconds(), 1)
	return r.extra
}

// reset drops the part to the floor.
func (r *isolationRamp) reset() { *r = isolationRamp{} }
