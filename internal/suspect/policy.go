package suspect

import "time"

// Policy is how a Table judges.
type Policy struct {
	// Isolates states that a request which crashed a group runs isolated until it is cleared. It
	// is refused only for a crash in isolation, however many groups it shared with other suspects.
	Isolates bool
	// ConfirmAfter returns how long a crash is known before it counts. By then other daemons have
	// told of a group that goes on, and of requests with the same parts that were answered. Nil: none.
	ConfirmAfter func() time.Duration
}

func (p Policy) confirmAfter() time.Duration {
	if p.ConfirmAfter == nil {
		return 0
	}
	return p.ConfirmAfter()
}
