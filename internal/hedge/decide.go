package hedge

import "time"

// MinRemaining is the time that an attempt takes at least: a round trip and a pass of a group.
const MinRemaining = 30 * time.Millisecond

// supersededShare is the share of the silence timeout after which a target that is no longer in use counts
// as silent: its members have joined another group, so that its next pass is not worth waiting for.
const supersededShare = 0.5

// Decide returns what happens to an attempt in progress.
func Decide(s State) Action {
	switch {
	case s.Withdrawn && !s.Begun:
		return Withdraw
	case s.HeldBack || !MayRepeat(s):
		return Wait
	case s.Superseded && float64(s.Silence) > supersededShare*float64(s.SilenceTimeout):
		return Silent
	case s.TargetSilent && s.Silence > s.SilenceTimeout:
		return Silent
	case s.SlowAfter > 0 && s.Silence > s.SlowAfter:
		return Slow
	default:
		return Wait
	}
}

// MayRepeat reports whether the request may have another attempt, beside those in progress.
func MayRepeat(s State) bool {
	return s.Repeatable && s.Ran < s.MaxAttempts && s.Sent < s.MaxSent && s.Remaining >= MinRemaining
}
