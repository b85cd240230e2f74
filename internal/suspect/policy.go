package suspect

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/awake"
)

// Policy is how a Table judges.
type Policy struct {
	// Isolates states that a request which crashed a group runs isolated until it is cleared. It
	// is refused only for a crash in isolation, however many groups it shared with other suspects.
	Isolates bool
	// ConfirmAfter returns how long a crash is known before it counts. By then other daemons have
	// told of a group that goes on, and of requests with the same parts that were answered. Nil: none.
	ConfirmAfter func() time.Duration
	// Standstills of this process do not count for that, as what the others told waits unread; nil: not known.
	Standstills *awake.Standstills
}

// confirmed reports whether a crash has been known for long enough to count.
func (p Policy) confirmed(at, now time.Time) bool {
	needed := time.Duration(0)
	if p.ConfirmAfter != nil {
		needed = p.ConfirmAfter()
	}
	return p.Standstills.Ran(at, now) >= needed
}
