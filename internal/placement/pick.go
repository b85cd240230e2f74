package placement

// manyDaemons is the number of daemons from which on each hears of the others'
// requests so late that all would choose the same target at once.
const manyDaemons = 16

// minRoom is what a target still counts with that is fuller than the others, in
// requests.
const minRoom = 0.2

// Pick returns the target for a request. It is nil, with the reason, when no
// target can take it.
func Pick(targets []*Target, demand Demand) (*Target, Reason) {
	candidates := filter(targets, demand)
	if len(candidates) == 0 {
		return nil, NoTarget
	}
	roomy := withRoom(candidates, demand)
	if len(roomy) == 0 {
		return nil, NoRoom
	}
	if demand.Daemons >= manyDaemons {
		return spread(roomy, demand), Placed
	}
	return least(roomy, demand), Placed
}

func withRoom(targets []*Target, demand Demand) []*Target {
	roomy := make([]*Target, 0, len(targets))
	for _, target := range targets {
		if hasRoom(target, demand) {
			roomy = append(roomy, target)
		}
	}
	return roomy
}

// least returns the target with the least expected load.
func least(targets []*Target, demand Demand) *Target {
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
