package placement

// shortPrefillShare is the share of a pass's prefill tokens up to which targets are
// preferred: the prefill in progress ends before the next prompts are sent, and the
// pass takes well below its maximum duration.
const shortPrefillShare = 0.5

// preferShortPrefill returns the targets with a short prefill queue, or if there is
// none, those that prefill the prompt within one pass, or if there is none either, all
// targets for a resumed stream and no target otherwise. This protects a group that has
// just opened, and the remaining groups after the loss of one. If all daemons sent it
// their prompts at once, it would prefill them for several passes of maximum duration,
// in which every stream of the group pauses for too long, and the last requests would
// be late before their first token. With staleViewDaemons or more, the reported prefill
// queues are older than a prefill takes, and are ignored.
func preferShortPrefill(targets []*Target, demand Demand) []*Target {
	if !demand.Grouped || demand.Daemons >= staleViewDaemons {
		return targets
	}
	var short, onePass []*Target
	for _, target := range targets {
		switch {
		case !prefillExceeds(target, demand, shortPrefillShare):
			short = append(short, target)
		case !exceedsOnePass(target, demand):
			onePass = append(onePass, target)
		}
	}
	switch {
	case len(short) > 0:
		return short
	case len(onePass) == 0 && demand.Resumed:
		return targets
	default:
		return onePass
	}
}

// exceedsOnePass reports whether the prefill of a prompt would take more than one pass,
// including the prompts queued before it. With staleViewDaemons or more it is false.
func exceedsOnePass(target *Target, demand Demand) bool {
	return demand.Daemons < staleViewDaemons && prefillExceeds(target, demand, 1)
}

// prefillExceeds reports whether a prompt and those queued before it have more tokens
// than the given share of what one pass prefills. A prompt with an empty queue never
// does.
func prefillExceeds(target *Target, demand Demand, share float64) bool {
	queued := target.Meter.Reading()
	return target.Pass > 0 && queued > 0 && float64(queued+demand.Prompt) > share*float64(target.Pass)
}
