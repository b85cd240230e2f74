package placement

// tiers are the targets that have not failed a request and are not down, by what
// speaks against them.
type tiers struct {
	sound    []*Target // nothing
	shaken   []*Target // a connection broke: they may have ended
	doubtful []*Target // they failed lately, or have fallen silent
}

// filter sorts the targets that may take a request. Load answered: a data centre
// that is cut off from the groups of the others; what cannot be reached is not
// waited for.
func filter(targets []*Target, demand Demand) tiers {
	t := tiers{sound: make([]*Target, 0, len(targets))}
	for _, target := range targets {
		switch {
		case demand.Excluded[target.Key] || target.Meter.Down(demand.Now):
		case isDoubtful(target, demand):
			t.doubtful = append(t.doubtful, target)
		case target.Meter.Shaken(demand.Now):
			t.shaken = append(t.shaken, target)
		default:
			t.sound = append(t.sound, target)
		}
	}
	return t
}

// isDoubtful reports whether a target failed lately or has fallen silent.
func isDoubtful(target *Target, demand Demand) bool {
	if target.Meter.Avoid(demand.Now) || target.Meter.Suspected(demand.Now) {
		return true
	}
	if !demand.Grouped {
		return false
	}
	_, silent := target.Meter.Silence(demand.Now)
	return silent
}
