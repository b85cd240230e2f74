package placement

// filter returns the targets that have not failed the request and are not down,
// those first that nothing speaks against. Load answered: a data centre that is
// cut off from the groups of the others; what cannot be reached is not waited for.
func filter(targets []*Target, demand Demand) []*Target {
	sound := make([]*Target, 0, len(targets))
	var doubtful []*Target
	for _, target := range targets {
		switch {
		case demand.Excluded[target.Key] || target.Meter.Down(demand.Now):
		case isDoubtful(target, demand):
			doubtful = append(doubtful, target)
		default:
			sound = append(sound, target)
		}
	}
	if len(sound) > 0 {
		return sound
	}
	return doubtful
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
