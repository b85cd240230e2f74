package placement

const (
	groupQueueLimit    = 2    // requests that may queue at a group beyond its slots; each waits about one answer's time divided by the slots
	plainLoadFactor    = 2.0  // maximum of requests in progress at a plain endpoint, as a multiple of its slots
	resumedHeadroom    = 8    // requests beyond groupQueueLimit, for streams that broke at another target
	lateAdmissionShare = 0.85 // share of the slots below which late requests are admitted
)

// hasCapacity reports whether a target can take a request so that it is likely to meet
// its latency target. Late requests are admitted only below lateAdmissionShare: their answers
// have a quarter of the value, and under overload they must not displace requests that
// can still be in time. Admitted requests are few enough for all targets together, so that
// they get the headroom of resumed streams: a target that seems full is a matter of late news.
func hasCapacity(target *Target, requirements Requirements) bool {
	load := target.Meter.Load()
	if !requirements.Grouped {
		return float64(load) < plainLoadFactor*float64(target.Slots)
	}
	if !hasMemory(target, requirements) {
		return false
	}
	if requirements.Resumed || requirements.Admitted {
		return load < target.Slots+groupQueueLimit+resumedHeadroom
	}
	if requirements.Late {
		return float64(load) < lateAdmissionShare*float64(target.Slots)
	}
	return load < target.Slots+groupQueueLimit
}
