package watch

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/group"
)

// entry is all that is known of one VM.
type entry struct {
	opinions        map[fleet.DaemonID]*opinion
	requestFailedAt time.Time         // when the last own request that failed began
	past            group.Observation // newest success of the observers forgotten
	merged          group.Observation
}

func newEntry() *entry {
	return &entry{opinions: map[fleet.DaemonID]*opinion{}}
}

func (e *entry) of(observer fleet.DaemonID) *opinion {
	o, ok := e.opinions[observer]
	if !ok {
		o = &opinion{}
		e.opinions[observer] = o
	}
	return o
}

// merge weighs the opinions.
//
// A poll that succeeded proves that the member is there, whoever made it. So a
// failed poll counts against a member only when no other observer's success
// speaks for it: a network cut between one daemon and the member does not take
// its group down. A failed poll takes away all that its own observer has proved
// before, so what remains is as old as the others' last success.
//
// A failed request of this daemon counts at once and until an own poll that
// began later succeeds. Another observer's success counts against it only after
// bound: this daemon may be the one that cannot reach the member.
func merge(e *entry, self fleet.DaemonID, bound time.Duration) group.Observation {
	newest, standing, failedAt := e.newest()
	result := *newest
	if !failedAt.IsZero() {
		result.Failed = true
		if standing != nil && failedAt.Sub(standing.At) <= bound {
			result = *standing
		}
	}
	if e.requestFailing(self, result.At, bound) {
		result.Failed = true
	}
	return result
}

// newest returns the newest success of all, the newest of the observers whose
// last poll did not fail, and the newest failure.
func (e *entry) newest() (all, standing *group.Observation, failedAt time.Time) {
	all = &e.past
	for _, o := range e.opinions {
		if o.seen.At.After(all.At) {
			all = &o.seen
		}
		if !o.failing() && o.known() && (standing == nil || o.seen.At.After(standing.At)) {
			standing = &o.seen
		}
		if o.failedAt.After(failedAt) {
			failedAt = o.failedAt
		}
	}
	return all, standing, failedAt
}

func (e *entry) requestFailing(self fleet.DaemonID, proofAt time.Time, bound time.Duration) bool {
	if e.requestFailedAt.IsZero() {
		return false
	}
	if own, ok := e.opinions[self]; ok && own.seen.At.After(e.requestFailedAt) {
		return false
	}
	return proofAt.Sub(e.requestFailedAt) < bound
}

// forget drops the opinions that were not heard since a time.
func (e *entry) forget(since time.Time) {
	for observer, o := range e.opinions {
		if o.heardAt.Before(since) {
			e.forgetOne(observer, o)
		}
	}
}

func (e *entry) forgetOne(observer fleet.DaemonID, o *opinion) {
	if o.seen.At.After(e.past.At) {
		e.past = o.seen
	}
	delete(e.opinions, observer)
}

// heardSince reports whether an observer spoke of the VM since a time.
func (e *entry) heardSince(since time.Time) bool {
	for _, o := range e.opinions {
		if o.heardAt.After(since) {
			return true
		}
	}
	return false
}
