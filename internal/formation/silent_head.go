package formation

import "time"

const (
	maxUnansweredOrders = 2 // before it is decided what becomes of a silent head without a registry entry
	// headStallMargin is added to the time after which a head without its members is broken: the order to
	// a member takes effect up to a round trip before its answer arrives, never after it.
	headStallMargin = 500 * time.Millisecond
	// defaultHeadStall is that time where the settings do not give it.
	defaultHeadStall = 6 * time.Second
)

// silentHead is what is known of a former head that has no registry entry and leaves orders unanswered. It
// may have lost its link to the store and to this daemon, serve on, and carry the orders out late or never.
type silentHead struct {
	unanswered int           // orders
	answered   bool          // it has answered a probe since
	companion  bool          // another member of its group answers; otherwise the whole group may be partitioned
	vacated    bool          // a member is known to have left the group
	vacatedFor time.Duration // for how long
	stall      time.Duration // after which a head without one of its members is broken
}

// headAction is what happens to a silent former head.
type headAction int

const (
	awaitHead   headAction = iota // it may still serve
	vacateHead                    // order a member to leave its group, so that the head stands still and then breaks
	releaseHead                   // it can no longer serve
)

// next returns what happens to the head. One that answers probes has not stopped, however long it is silent
// to orders: without one of its members it has, after the stall. One that answers neither, while a member of
// its group does, counts as gone at once: most are, and their members would serve nobody until the stall is
// over.
func (h silentHead) next() headAction {
	switch {
	case h.vacated && h.vacatedFor >= h.stall+headStallMargin:
		return releaseHead
	case h.vacated || !h.companion || h.unanswered < maxUnansweredOrders:
		return awaitHead
	case h.answered:
		return vacateHead
	default:
		return releaseHead
	}
}
