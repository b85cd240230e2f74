package placement

// soonShare is the share of the prompt tokens that a pass reads, up to which targets
// are preferred: those that a group has just read end before the next are sent, and
// its pass stays well below its longest.
const soonShare = 0.5

// soonRead returns the targets that read a prompt soon, or if there is none, those
// that read it in their next pass; all, for a stream that broke, if there is none
// either. Load answered: a group that has just opened, or
// the others when one was lost. Were all to send it their prompts at once, it would
// read them for several of its longest passes, in which every stream of the group
// pauses for too long, and what came last would be late before its first token. Among
// many daemons what is told is older than it takes to read a prompt, and says nothing.
func soonRead(targets []*Target, demand Demand) []*Target {
	if !demand.Grouped || demand.Daemons >= manyDaemons {
		return targets
	}
	var soon, next []*Target
	for _, target := range targets {
		switch {
		case !waitsFor(target, demand, soonShare):
			soon = append(soon, target)
		case !waitsToBeRead(target, demand):
			next = append(next, target)
		}
	}
	switch {
	case len(soon) > 0:
		return soon
	case len(next) == 0 && demand.Resumed:
		return targets
	default:
		return next
	}
}

// waitsToBeRead reports whether a prompt would wait for more than a pass until it is
// read.
func waitsToBeRead(target *Target, demand Demand) bool {
	return demand.Daemons < manyDaemons && waitsFor(target, demand, 1)
}

// waitsFor reports whether a prompt and those that are to be read before it are more
// than a share of what a pass reads. A prompt alone never is.
func waitsFor(target *Target, demand Demand, share float64) bool {
	before := target.Meter.Reading()
	return target.Pass > 0 && before > 0 && float64(before+demand.Prompt) > share*float64(target.Pass)
}
