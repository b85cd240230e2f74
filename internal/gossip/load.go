package gossip

import "time"

// Load is what a daemon has in progress at one target.
type Load struct {
	_     struct{} `cbor:",toarray"`
	Count int      // requests in progress
	AgeMS int      // since the target's last event; negative: there was none yet

	Reading int // prompt tokens that requests wait for
}

// later returns the load as it is to be told after a time.
func (l Load) later(age time.Duration) Load {
	if l.AgeMS >= 0 {
		l.AgeMS += int(age.Milliseconds())
	}
	return l
}

// plus returns the sum of two loads of one target.
func (l Load) plus(other Load) Load {
	return Load{Count: l.Count + other.Count, AgeMS: latest(l.AgeMS, other.AgeMS), Reading: l.Reading + other.Reading}
}

// latest returns the age of the later one of two events, of which either may be
// none.
func latest(a, b int) int {
	if a < 0 {
		return b
	}
	if b < 0 {
		return a
	}
	return min(a, b)
}
