package gossip

import "time"

// Load describes the requests that a daemon has in progress at one target.
type Load struct {
	_     struct{} `cbor:",toarray"`
	Count int      // requests in progress
	AgeMS int      // since the target's last event; negative if there was none

	Reading int // prompt tokens whose prefill requests are waiting for
}

// aged returns the load with its event age increased by age.
func (l Load) aged(age time.Duration) Load {
	if l.AgeMS >= 0 {
		l.AgeMS += int(age.Milliseconds())
	}
	return l
}

// plus returns the sum of two loads at the same target.
func (l Load) plus(other Load) Load {
	return Load{Count: l.Count + other.Count, AgeMS: latestAge(l.AgeMS, other.AgeMS), Reading: l.Reading + other.Reading}
}

// latestAge returns the smaller of two event ages. A negative age means that there was
// no event.
func latestAge(a, b int) int {
	if a < 0 {
		return b
	}
	if b < 0 {
		return a
	}
	return min(a, b)
}
