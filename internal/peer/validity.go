package peer

import (
	"context"
	"time"
)

const (
	// maxTransit is how old a streamed call may be when it begins. Callers need that a request that is passed on reaches its endpoint
	// at most 0.5 s after they have left, and with at most 0.5 s more than it has left.
	maxTransit = 400 * time.Millisecond
	// transitMargin is for how long after its caller's time a call may begin: less would refuse calls that are in time, as
	// their age is known no better than the round trip of a busy link.
	transitMargin = 100 * time.Millisecond
)

// validity returns for how long a call may begin, given the time that its caller has left, if that is limited: 0 for any time.
func validity(streamed bool, left time.Duration, limited bool) time.Duration {
	switch {
	case limited && streamed:
		return min(max(left, 0)+transitMargin, maxTransit)
	case limited:
		return max(left, 0) + transitMargin
	case streamed:
		return maxTransit
	default:
		return 0
	}
}

// validFor returns the validity of a call that is made now.
func validFor(ctx context.Context, streamed bool) Timestamp {
	until, limited := ctx.Deadline()
	return Timestamp(validity(streamed, time.Until(until), limited) / time.Millisecond)
}

// age returns for how long a call has been under way at least: its way at best does not count, as distant or busy links would
// pass no call. It returns false while that is not known: daemons of earlier versions do not tell, and the clock
// of the other side is unknown for a round trip after the link was made.
func (l *link) age(f frame) (Timestamp, bool) {
	if f.Sent == 0 {
		return 0, false
	}
	now := l.network.clocks.now()
	at, known := l.clock.latest(now, f.Sent)
	return now - at, known
}

// late reports whether a call has waited for longer than it is valid, on a link that stalled or in a process that stood still.
func (l *link) late(f frame) bool {
	age, known := l.age(f)
	return known && f.Valid > 0 && age > f.Valid
}

// leftOf returns for how long a call that is passed on is valid.
func (l *link) leftOf(f frame) Timestamp {
	const most = Timestamp(maxTransit / time.Millisecond)
	age, known := l.age(f)
	switch {
	case f.Valid == 0:
		return most
	case !known:
		return min(f.Valid, most)
	}
	return min(max(f.Valid-age, 1), most)
}
