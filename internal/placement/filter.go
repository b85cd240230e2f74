package placement

// candidateTiers holds the targets that have not failed a request and are not down,
// by health.
type candidateTiers struct {
	healthy     []*Target // no known problem
	interrupted []*Target // a connection broke recently: they may have terminated
	suspect     []*Target // they failed recently or are silent
	held        int       // targets that were left out because they want no requests now
}

// filter sorts the targets that may take a request into tiers. Unreachable targets
// are left out instead of being waited for, so that a data centre that is
// partitioned from the groups of the others keeps serving.
func filter(targets []*Target, requirements Requirements) candidateTiers {
	t := candidateTiers{healthy: make([]*Target, 0, len(targets))}
	for _, target := range targets {
		switch {
		case isHeld(target, requirements):
			t.held++
		case requirements.Excluded[target.Key] || target.Meter.Down(requirements.Now):
		case isSuspect(target, requirements):
			t.suspect = append(t.suspect, target)
		case target.Meter.RecentlyInterrupted(requirements.Now):
			t.interrupted = append(t.interrupted, target)
		default:
			t.healthy = append(t.healthy, target)
		}
	}
	return t
}

// isHeld reports whether a target wants no such request now. A cold endpoint takes so few requests
// that none of them is spent on an answer that is late anyway.
func isHeld(target *Target, requirements Requirements) bool {
	if target.Hold.Remaining(requirements.Now) > 0 || requirements.Overdue && target.Limit.SkipIfCold(requirements.Now) {
		return true
	}
	return !requirements.Forwarded && !target.Limit.Admits(requirements.Now)
}

// InAllowedRegions returns the targets in the regions in which a request may be handled.
func InAllowedRegions(targets []*Target, requirements Requirements) []*Target {
	if requirements.Allowed == nil {
		return targets
	}
	allowed := make([]*Target, 0, len(targets))
	for _, target := range targets {
		if requirements.Regions.AllowsTarget(requirements.Allowed, target.DataCentre) {
			allowed = append(allowed, target)
		}
	}
	return allowed
}

// isSuspect reports whether a target failed recently or is silent.
func isSuspect(target *Target, requirements Requirements) bool {
	if target.Meter.InBackoff(requirements.Now) || target.Meter.Suspected(requirements.Now) {
		return true
	}
	if !requirements.Grouped {
		return false
	}
	_, silent := target.Meter.Silence(requirements.Now)
	return silent
}
