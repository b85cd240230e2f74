package watch

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/group"
)

// pollState is the result of one observer's own polls of one VM.
type pollState struct {
	lastSuccess group.Observation // last successful poll; zero: none
	failedAt    time.Time         // start of the last poll if it failed; otherwise zero
	reportedAt  time.Time         // when the observer last reported on the VM
}

// failing reports whether the observer's last poll failed.
func (o pollState) failing() bool { return !o.failedAt.IsZero() }

// everSucceeded reports whether any poll of the observer has succeeded.
func (o pollState) everSucceeded() bool { return !o.lastSuccess.At.IsZero() }

// recordSuccess stores a successful poll unless a newer one is stored. It
// reports whether anything but time and load changed.
func (o *pollState) recordSuccess(observation group.Observation, now time.Time) (changed bool) {
	o.reportedAt = now
	if observation.At.Before(o.lastSuccess.At) {
		return false
	}
	old := *o
	o.lastSuccess = observation
	o.lastSuccess.Failed = false
	if !o.failedAt.After(observation.At) {
		o.failedAt = time.Time{}
	}
	return !sameContent(old, *o)
}

// recordFailure stores a failed poll that began at a time, unless a newer poll is
// stored. It reports whether the state was not failing before and is now.
func (o *pollState) recordFailure(at, now time.Time) (changed bool) {
	o.reportedAt = now
	if at.Before(o.lastSuccess.At) || at.Before(o.failedAt) {
		return false
	}
	changed = !o.failing()
	o.failedAt = at
	return changed
}

// lastPollAt returns the start of the observer's last poll.
func (o pollState) lastPollAt() time.Time {
	if o.failing() {
		return o.failedAt
	}
	return o.lastSuccess.At
}

// recordUnchanged stores a poll that began at a time and had the same result as
// the one before.
func (o *pollState) recordUnchanged(at time.Time) {
	if o.failing() {
		o.failedAt = at
		return
	}
	o.lastSuccess.At = at
}
