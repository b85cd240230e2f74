package watch

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/group"
)

// opinion is what one observer knows of one VM by its own polls.
type opinion struct {
	seen     group.Observation // its last successful poll; zero if none
	failedAt time.Time         // when its last poll began, if that failed; else zero
	heardAt  time.Time         // when the observer last spoke of the VM
}

// failing reports whether the observer's last poll failed.
func (o opinion) failing() bool { return !o.failedAt.IsZero() }

// known reports whether a poll of the observer ever succeeded.
func (o opinion) known() bool { return !o.seen.At.IsZero() }

// succeed takes in a successful poll unless a newer one is known.
func (o *opinion) succeed(observation group.Observation, now time.Time) (changed bool) {
	o.heardAt = now
	if observation.At.Before(o.seen.At) {
		return false
	}
	old := *o
	o.seen = observation
	o.seen.Failed = false
	if !o.failedAt.After(observation.At) {
		o.failedAt = time.Time{}
	}
	return !sameContent(old, *o)
}

// fail takes in a failed poll that began at a time.
func (o *opinion) fail(at, now time.Time) (changed bool) {
	o.heardAt = now
	if at.Before(o.seen.At) || at.Before(o.failedAt) {
		return false
	}
	changed = !o.failing()
	o.failedAt = at
	return changed
}

// lastPollAt returns when the observer's last poll began.
func (o opinion) lastPollAt() time.Time {
	if o.failing() {
		return o.failedAt
	}
	return o.seen.At
}

// polled notes that the last poll, begun at a time, went as the one before.
func (o *opinion) polled(at time.Time) {
	if o.failing() {
		o.failedAt = at
		return
	}
	o.seen.At = at
}
