package placement

import "time"

// balanceHorizon is the number of report delays over which the loads are balanced.
// Balancing within one delay makes them oscillate, because each daemon reacts to a view
// that is one delay old.
const balanceHorizon = 3

// pickWeighted returns a random target, weighted by how far its load is below the mean
// load projected for balanceHorizon delays ahead. If many daemons with stale views all
// chose the least loaded target, or strongly preferred it, they would overload it before
// they learned of each other's requests.
func pickWeighted(targets []*Target, demand Demand) *Target {
	gap := leastGap(targets)
	loads := make([]float64, len(targets))
	for i, target := range targets {
		loads[i] = score(target, demand, gap) * float64(target.Slots)
	}
	mean := projectedMeanLoad(targets, loads, balanceHorizon*demand.Delay)
	total := 0.0
	weights := make([]float64, len(targets))
	for i, load := range loads {
		weights[i] = max(mean-load, minWeight)
		total += weights[i]
	}
	remaining := demand.Random * total
	for i, target := range targets {
		remaining -= weights[i]
		if remaining < 0 {
			return target
		}
	}
	return targets[len(targets)-1]
}

// projectedMeanLoad returns the mean load of the targets including the requests that
// arrive within the delay. By Little's law, as many requests arrive within one mean
// latency as are in progress.
func projectedMeanLoad(targets []*Target, loads []float64, delay time.Duration) float64 {
	load, latency := 0.0, 0.0
	for i, target := range targets {
		load += loads[i]
		latency += float64(target.Meter.MeanLatency())
	}
	arriving := load * float64(delay) * float64(len(targets)) / latency
	return (load+arriving)/float64(len(targets)) + 1
}
