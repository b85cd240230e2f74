package apportion

import "time"

const (
	// settleTime is the time between two changes in the whole fleet: longer than a change takes
	// (2.5 s until the streams of a closed group end, 2 s to load a model from the host, and the
	// start of a group), so that each is decided with the effect of the previous one in view.
	settleTime = 10 * time.Second
	// minPayingTime is the time for which a change in the same direction must have paid off. It is
	// longer than half of a wave of 15 s, so that demand that swings between two models moves no
	// groups to and fro, and about as long as the bursts of the known deployments.
	minPayingTime = 8 * time.Second
	// minGapEvacuated replaces settleTime after a recent evacuation. It is longer than the demand of
	// the previous change's callers takes to be counted (2 s), and the previous change must be
	// complete besides.
	minGapEvacuated = 2 * time.Second
)

// Pace states how far apart changes are.
type Pace struct {
	SinceChange time.Duration // since the last change of a group's model in the fleet, or since this is observed
	Paying      time.Duration // for which a change from the same model to the same model has paid off
	Evacuation  Evacuation
	Incomplete  bool // groups of an earlier change do not serve yet
}

// Permits reports whether a change may be made now.
func (p Pace) Permits() bool {
	if p.Evacuation.Recent() {
		return p.SinceChange >= minGapEvacuated && !p.Incomplete
	}
	return p.SinceChange >= settleTime && p.Paying >= minPayingTime
}
