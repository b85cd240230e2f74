package placement

import "time"

const (
	crossZoneCost = 1.0 // requests in progress that another zone weighs as much as
	slowGap       = 1.6 // of the least gap between events: from there on a group counts as slow
)

// score returns the expected load of a target with one request more, as a share
// of its slots. A group whose events come slowly counts as fuller.
func score(target *Target, demand Demand, leastGap time.Duration) float64 {
	load := float64(target.Meter.Load() + 1)
	if target.Zone != demand.Zone {
		load += crossZoneCost
	}
	share := load / float64(target.Slots)
	if !demand.Grouped {
		return share
	}
	if slowness := float64(target.Meter.Gap()) / float64(leastGap); slowness > slowGap {
		share *= slowness
	}
	return share
}

func leastGap(targets []*Target) time.Duration {
	least := time.Duration(0)
	for _, target := range targets {
		if gap := target.Meter.Gap(); least == 0 || gap < least {
			least = gap
		}
	}
	return max(least, time.Millisecond)
}
