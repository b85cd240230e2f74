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
func Pick(targets []*Target, requirements Requirements) (*Target, Reason) {
	if len(targets) == 0 && requirements.Evacuated {
		return nil, Evacuated
	}
	allowed := InAllowedRegions(targets, requirements)
	if len(allowed) == 0 && len(targets) > 0 {
		return nil, NoAllowedRegion
	}
	t := filter(allowed, requirements)
	if len(t.healthy)+len(t.interrupted)+len(t.suspect) == 0 && t.held > 0 {
		return nil, HeldBack
	}
	if len(t.healthy)+len(t.interrupted) == 0 {
		return pickFrom(t.suspect, requirements)
	}
	if target, reason := pickFrom(t.healthy, requirements); target != nil || len(t.interrupted) == 0 {
		return target, reason
	}
	return pickFrom(t.interrupted, requirements)
}

func pickFrom(candidates []*Target, requirements Requirements) (*Target, Reason) {
	if len(candidates) == 0 {
		return nil, NoTarget
	}
	if requirements.Grouped && !requirements.Resumed && !requirements.Admitted && nearlyFull(candidates) {
		return pickNearlyFull(candidates, requirements)
	}
	available := preferShortPrefill(withCapacity(candidates, requirements), requirements)
	if len(available) == 0 {
		return nil, NoCapacity
	}
	if requirements.Daemons >= staleViewDaemons {
		return pickWeighted(available, requirements), Placed
	}
	return leastLoaded(available, requirements), Placed
}

// pickNearlyFull chooses among all targets and refuses the request if the chosen one is
// full. Under overload, daemons that went on to look for a target with capacity would
// all send to the same one, and queue there: with stale views every target is
// overloaded in turn, and most answers are late.
func pickNearlyFull(candidates []*Target, requirements Requirements) (*Target, Reason) {
	chosen := pickWeighted(candidates, requirements)
	if !hasCapacity(chosen, requirements) || exceedsOnePass(chosen, requirements) {
		return nil, NoCapacity
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

func withCapacity(targets []*Target, requirements Requirements) []*Target {
	available := make([]*Target, 0, len(targets))
	for _, target := range targets {
		if hasCapacity(target, requirements) {
			available = append(available, target)
		}
	}
	return available
}

// leastLoaded returns the target with the lowest expected load.
func leastLoaded(targets []*Target, requirements Requirements) *Target {
	gap := leastGap(targets)
	best := targets[0]
	lowest := score(best, requirements, gap)
	for _, target := range targets[1:] {
		if s := score(target, requirements, gap); s < lowest {
			best, lowest = target, s
		}
	}
	return best
}
