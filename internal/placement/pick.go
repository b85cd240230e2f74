package placement

// staleViewDaemons is the number of daemons from which on each learns of the requests
// of others so late that all would choose the same target at once.
const staleViewDaemons = 16

// minWeight is the weight, in requests, of a target that is at or above the projected
// mean load, so that it is still chosen occasionally.
const minWeight = 0.2

// nearlyFullShare is the share of all slots in use above which the targets count as
// nearly full.
const nearlyFullShare = 0.9

// Pick returns the target for a request, or nil and the reason when no target can
// take it. Interrupted targets are used once the healthy ones are full: after a mass
// reset of connections, the few healthy targets would otherwise fill up at once and
// refuse requests for which all targets together have capacity.
func Pick(targets []*Target, demand Demand) (*Target, Reason) {
	t := filter(targets, demand)
	if len(t.healthy)+len(t.interrupted) == 0 {
		return pickFrom(t.suspect, demand)
	}
	if target, reason := pickFrom(t.healthy, demand); target != nil || len(t.interrupted) == 0 {
		return target, reason
	}
	return pickFrom(t.interrupted, demand)
}

func pickFrom(candidates []*Target, demand Demand) (*Target, Reason) {
	if len(candidates) == 0 {
		return nil, NoTarget
	}
	if demand.Grouped && !demand.Resumed && nearlyFull(candidates) {
		return pickNearlyFull(candidates, demand)
	}
	available := preferShortPrefill(withCapacity(candidates, demand), demand)
	if len(available) == 0 {
		return nil, NoRoom
	}
	if demand.Daemons >= staleViewDaemons {
		return pickWeighted(available, demand), Placed
	}
	return leastLoaded(available, demand), Placed
}

// pickNearlyFull chooses among all targets and refuses the request if the chosen one is
// full. Under overload, daemons that went on to look for a target with capacity would
// all send to the same one, and queue there: with stale views every target is
// overloaded in turn, and most answers are late.
func pickNearlyFull(candidates []*Target, demand Demand) (*Target, Reason) {
	chosen := pickWeighted(candidates, demand)
	if !hasCapacity(chosen, demand) || exceedsOnePass(chosen, demand) {
		return nil, NoRoom
	}
	return chosen, Placed
}

// nearlyFull reports whether more than nearlyFullShare of all slots are in use.
func nearlyFull(targets []*Target) bool {
	load, slots := 0, 0
	for _, target := range targets {
		load += target.Meter.Load()
		slots += target.Slots
	}
	return float64(load) > nearlyFullShare*float64(slots)
}

func withCapacity(targets []*Target, demand Demand) []*Target {
	available := make([]*Target, 0, len(targets))
	for _, target := range targets {
		if hasCapacity(target, demand) {
			available = append(available, target)
		}
	}
	return available
}

// leastLoaded returns the target with the lowest expected load.
func leastLoaded(targets []*Target, demand Demand) *Target {
	gap := leastGap(targets)
	best := targets[0]
	lowest := score(best, demand, gap)
	for _, target := range targets[1:] {
		if s := score(target, demand, gap); s < lowest {
			best, lowest = target, s
		}
	}
	return best
}
