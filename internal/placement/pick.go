package placement

// manyDaemons is the number of daemons from which on each hears of the others'
// requests so late that all would choose the same target at once.
const manyDaemons = 16

// minRoom is what a target still counts with that is fuller than the others, in
// requests.
const minRoom = 0.2

// fullShare is the share of all slots from which on targets count as nearly full.
const fullShare = 0.9

// Pick returns the target for a request. It is nil, with the reason, when no
// target can take it. Load answered: connections that are reset in great number;
// were the targets behind them left alone, the few others would be full at once and
// refuse what all together have room for.
func Pick(targets []*Target, demand Demand) (*Target, Reason) {
	t := filter(targets, demand)
	if len(t.sound)+len(t.shaken) == 0 {
		return pickOf(t.doubtful, demand)
	}
	if target, reason := pickOf(t.sound, demand); target != nil || len(t.shaken) == 0 {
		return target, reason
	}
	return pickOf(t.shaken, demand)
}

func pickOf(candidates []*Target, demand Demand) (*Target, Reason) {
	if len(candidates) == 0 {
		return nil, NoTarget
	}
	if demand.Grouped && !demand.Resumed && nearlyFull(candidates) {
		return pickOfFull(candidates, demand)
	}
	roomy := soonRead(withRoom(candidates, demand), demand)
	if len(roomy) == 0 {
		return nil, NoRoom
	}
	if demand.Daemons >= manyDaemons {
		return spread(roomy, demand), Placed
	}
	return least(roomy, demand), Placed
}

// pickOfFull chooses among all targets and refuses if the chosen one is full.
// Load answered: more requests than the groups can run. Were the daemons to look
// further, all would go to the one target that seems to have room, and wait there:
// by the time that they know, each target is overrun in turn, and most answers are
// late.
func pickOfFull(candidates []*Target, demand Demand) (*Target, Reason) {
	chosen := spread(candidates, demand)
	if !hasRoom(chosen, demand) || waitsToBeRead(chosen, demand) {
		return nil, NoRoom
	}
	return chosen, Placed
}

// nearlyFull reports whether the targets together have hardly any room left.
func nearlyFull(targets []*Target) bool {
	load, slots := 0, 0
	for _, target := range targets {
		load += target.Meter.Load()
		slots += target.Slots
	}
	return float64(load) > fullShare*float64(slots)
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
