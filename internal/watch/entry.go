package watch

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/group"
)

// entry is the state of one VM by observer, and the merged observation.
type entry struct {
	pollStates      map[fleet.DaemonID]*pollState
	requestFailedAt time.Time         // start of the last own request that failed
	prunedSuccess   group.Observation // newest success of the removed observers
	merged          group.Observation
}

func newEntry() *entry {
	return &entry{pollStates: map[fleet.DaemonID]*pollState{}}
}

func (e *entry) pollStateOf(observer fleet.DaemonID) *pollState {
	o, ok := e.pollStates[observer]
	if !ok {
		o = &pollState{}
		e.pollStates[observer] = o
	}
	return o
}

// merge returns the observation that follows from the poll states of all
// observers.
//
// A successful poll by any observer proves that the member is running. A failed
// poll therefore counts only if no other observer has a current success: a
// network partition between one daemon and the member does not take its group out
// of service. A failed poll invalidates all earlier successes of the same
// observer, so that the result is as old as the last success of the others.
//
// A failed request of this daemon counts at once, until an own poll that began
// later succeeds. A success of another observer overrides it only if it is later
// by bound or more, as this daemon may be the one that cannot reach the member.
func merge(e *entry, self fleet.DaemonID, bound time.Duration) group.Observation {
	newest, current, failedAt := e.newest()
	result := *newest
	if !failedAt.IsZero() {
		result.Failed = true
		if current != nil && failedAt.Sub(current.At) <= bound {
			result = *current
		}
	}
	if e.requestFailing(self, result.At, bound) {
		result.Failed = true
	}
	return result
}

// newest returns the newest success of all observers, the newest success of those
// whose last poll did not fail, and the start of the newest failed poll.
func (e *entry) newest() (all, current *group.Observation, failedAt time.Time) {
	all = &e.prunedSuccess
	for _, o := range e.pollStates {
		if o.lastSuccess.At.After(all.At) {
			all = &o.lastSuccess
		}
		if !o.failing() && o.everSucceeded() && (current == nil || o.lastSuccess.At.After(current.At)) {
			current = &o.lastSuccess
		}
		if o.failedAt.After(failedAt) {
			failedAt = o.failedAt
		}
	}
	return all, current, failedAt
}

func (e *entry) requestFailing(self fleet.DaemonID, proofAt time.Time, bound time.Duration) bool {
	if e.requestFailedAt.IsZero() {
		return false
	}
	if own, ok := e.pollStates[self]; ok && own.lastSuccess.At.After(e.requestFailedAt) {
		return false
	}
	return proofAt.Sub(e.requestFailedAt) < bound
}

// prune drops the state of observers that have not reported since a time.
func (e *entry) prune(since time.Time) {
	for observer, o := range e.pollStates {
		if o.reportedAt.Before(since) {
			e.removeObserver(observer, o)
		}
	}
}

func (e *entry) removeObserver(observer fleet.DaemonID, o *pollState) {
	if o.lastSuccess.At.After(e.prunedSuccess.At) {
		e.prunedSuccess = o.lastSuccess
	}
	delete(e.pollStates, observer)
}

// reportedSince reports whether any observer has reported on the VM since a time.
func (e *entry) reportedSince(since time.Time) bool {
	for _, o := range e.pollStates {
		if o.reportedAt.After(since) {
			return true
		}
	}
	return false
}
