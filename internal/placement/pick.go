package placement

// Pick returns the target for a request. It is nil, with the reason, when no
// target can take it.
func Pick(targets []*Target, demand Demand) (*Target, Reason) {
	candidates := filter(targets, demand)
	if len(candidates) == 0 {
		return nil, NoTarget
	}
	gap := leastGap(candidates)
	var best *Target
	least := 0.0
	for _, target := range candidates {
		if !hasRoom(target, demand) {
			continue
		}
		if s := score(target, demand, gap); best == nil || s < least {
			best, least = target, s
		}
	}
	if best == nil {
		return nil, NoRoom
	}
	return best, Placed
}
