package registry

import "time"

// earlierStartWindow is how long after the latest entry of an endpoint those of an earlier start are ignored. It is
// longer than the store takes to carry out a write, so that an entry that still comes after it is written by a living
// endpoint, whose clock was set back before it started.
const earlierStartWindow = 30 * time.Second

// lastEntry identifies the latest entry of an endpoint.
type lastEntry struct {
	incarnation int64
	sequence    int64
	knownAt     time.Time // when it was read or, if it has been removed, when the removal was
	removed     bool
}

// supersedes reports whether another entry was written before this one: the store may carry out a write
// seconds after it was sent, and may come back from an older copy. After its removal the entry itself is no
// longer valid either.
func (l lastEntry) supersedes(e *Endpoint, now time.Time) bool {
	switch {
	case e.Incarnation < l.incarnation:
		return now.Sub(l.knownAt) < earlierStartWindow
	case e.Incarnation > l.incarnation:
		return false
	case l.removed:
		return e.Sequence <= l.sequence
	default:
		return e.Sequence < l.sequence
	}
}
