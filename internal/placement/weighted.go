package placement

import "time"

// evenOver is the number of delays over which the loads are evened out. Evened
// out within one, they swing: what a daemon answers to is as old.
const evenOver = 3

// spread returns a target at random, the more likely the further it is below the
// level that all would be at once the requests of a few delays arrived. Load
// answered: many daemons that know of each other's requests late; were all to
// choose the least loaded target, or to prefer it by much, it would be overrun
// before they knew.
func spread(targets []*Target, demand Demand) *Target {
	gap := leastGap(targets)
	loads := make([]float64, len(targets))
	for i, target := range targets {
		loads[i] = score(target, demand, gap) * float64(target.Slots)
	}
	level := levelAfter(targets, loads, evenOver*demand.Delay)
	total := 0.0
	weights := make([]float64, len(targets))
	for i, load := range loads {
		weights[i] = max(level-load, minRoom)
		total += weights[i]
	}
	left := demand.Random * total
	for i, target := range targets {
		left -= weights[i]
		if left < 0 {
			return target
		}
	}
	return targets[len(targets)-1]
}

// levelAfter returns the mean load of the targets with the requests that arrive
// within a delay. As many arrive as there are, in the time that one stays.
func levelAfter(targets []*Target, loads []float64, delay time.Duration) float64 {
	load, stay := 0.0, 0.0
	for i, target := range targets {
		load += loads[i]
		stay += float64(target.Meter.Stay())
	}
	arriving := load * float64(delay) * float64(len(targets)) / stay
	return (load+arriving)/float64(len(targets)) + 1
}
