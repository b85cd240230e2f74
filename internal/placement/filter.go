package placement

// candidateTiers holds the targets that have not failed a request and are not down,
// by health.
type candidateTiers struct {
	healthy     []*Target // no known problem
	interrupted []*Target // a connection broke recently: they may have terminated
	suspect     []*Target // they failed recently or are silent
}

// filter sorts the targets that may take a request into tiers. Unreachable targets
// are left out instead of being waited for, so that a data centre that is
// partitioned from the groups of the others keeps serving.
func filter(targets []*Target, demand Demand) candidateTiers {
	t := candidateTiers{healthy: make([]*Target, 0, len(targets))}
	for _, target := range targets {
		switch {
		case demand.Excluded[target.Key] || target.Meter.Down(demand.Now):
		case isSuspect(target, demand):
			t.suspect = append(t.suspect, target)
		case target.Meter.Shaken(demand.Now):
			t.interrupted = append(t.interrupted, target)
		default:
			t.healthy = append(t.healthy, target)
		}
	}
	return t
}

// isSuspect reports whether a target failed recently or is silent.
func isSuspect(target *Target, demand Demand) bool {
	if target.Meter.Avoid(demand.Now) || target.Meter.Suspected(demand.Now) {
		return true
	}
	if !demand.Grouped {
		return false
	}
	_, silent := target.Meter.Silence(demand.Now)
	return silent
}
