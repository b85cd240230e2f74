package overload

import "time"

const (
	// slowGapRatio is the ratio to a normal gap between events above which a group counts as slow.
	slowGapRatio = 1.6

	// ReportedSlowdown is the slowdown above which a group counts as slow by what its endpoints
	// report. Smaller values are noise.
	ReportedSlowdown = 1.2
)

// SlowFactor returns the factor by which a group is slower than normal, 1 if it does not count as
// slow: the greater of the ratio of its measured gap to a normal one, and of the slowdown that its
// endpoints report. byReport states that the report determined it. A gap or a normal gap of 0 is not known. A measured gap that is normal takes
// precedence over the report, because endpoints that are no longer slow report their old slowdown for
// up to 1.2 s longer.
//
// Load: groups that run several times as slowly for some seconds. Each daemon measures only the
// streams of its own callers, so that most groups become slow without a gap that shows it.
func SlowFactor(gap, normal time.Duration, reported float64) (factor float64, byReport bool) {
	measured := 0.0
	if gap > 0 && normal > 0 {
		if measured = float64(gap) / float64(normal); measured <= slowGapRatio {
			return 1, false
		}
	}
	if reported > ReportedSlowdown && reported > measured {
		return reported, true
	}
	return max(measured, 1), false
}
