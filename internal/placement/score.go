package placement

import "time"

const (
	crossZonePenalty = 1.0 // added load of a target in another zone, in requests
	slowGapRatio     = 1.6 // ratio to the smallest gap between events above which a group counts as slow
)

// score returns the expected load of a target with one more request, as a share of its
// slots. The load of a slow group is scaled up by the ratio of the gaps.
func score(target *Target, demand Demand, leastGap time.Duration) float64 {
	load := float64(target.Meter.Load() + 1)
	if target.Zone != demand.Zone {
		load += crossZonePenalty
	}
	share := load / float64(target.Slots)
	if !demand.Grouped {
		return share
	}
	if slowness := float64(target.Meter.MeanGap()) / float64(leastGap); slowness > slowGapRatio {
		share *= slowness
	}
	return share
}

func leastGap(targets []*Target) time.Duration {
	smallest := time.Duration(0)
	for _, target := range targets {
		if gap := target.Meter.MeanGap(); smallest == 0 || gap < smallest {
			smallest = gap
		}
	}
	return max(smallest, time.Millisecond)
}
