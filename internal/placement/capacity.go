package placement

const (
	queueGrouped = 2    // requests that may wait at a group beyond its slots: each waits about one answer's time over the slots
	queuePlain   = 2.0  // requests in progress at a plain endpoint, as a multiple of its slots
	resumedExtra = 8    // requests beyond those that may wait, for streams that broke elsewhere
	lateShare    = 0.85 // of the slots, up to which requests that are late already are taken
)

// hasRoom reports whether a target can take a request so that it is likely to be
// in time. Load answered: more requests than the groups that stand can run; what
// is late already earns a quarter and must not push out what can be in time.
func hasRoom(target *Target, demand Demand) bool {
	load := target.Meter.Load()
	if !demand.Grouped {
		return float64(load) < queuePlain*float64(target.Slots)
	}
	if demand.Resumed {
		return load < target.Slots+queueGrouped+resumedExtra
	}
	if demand.Late {
		return float64(load) < lateShare*float64(target.Slots)
	}
	return load < target.Slots+queueGrouped
}
