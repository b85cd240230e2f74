package daemon

import (
	"sync/atomic"
	"time"

	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/group"
	"github.com/plantainmux/plantainmux/internal/view"
)

// readiness decides whether the load balancer may send requests to this daemon.
// A new daemon needs its configuration, the groups, and a report on each member
// of the groups: without these it would refuse requests that other daemons can
// serve. Once ready, it remains ready; later failures are reported by refusing
// requests.
type readiness struct {
	unreported  func(vm fleet.VMID, since time.Time) bool
	gracePeriod time.Duration // a member without any report for this long is missing

	ready      atomic.Bool
	knownSince atomic.Int64 // Unix nanoseconds when the configuration and the groups were first known
}

func newReadiness(unreported func(fleet.VMID, time.Time) bool, gracePeriod time.Duration) *readiness {
	return &readiness{unreported: unreported, gracePeriod: gracePeriod}
}

// check reports whether the daemon is ready, given its current view.
func (r *readiness) check(v *view.View, now time.Time) bool {
	if r.ready.Load() {
		return true
	}
	if v.Config.Version == 0 || !v.GroupsKnown {
		return false
	}
	r.knownSince.CompareAndSwap(0, now.UnixNano())
	waited := now.Sub(time.Unix(0, r.knownSince.Load()))
	if waited < r.gracePeriod && r.awaitsReport(v) {
		return false
	}
	r.ready.Store(true)
	return true
}

// awaitsReport reports whether some member that keeps its group from serving
// has not been reported on by any daemon yet.
func (r *readiness) awaitsReport(v *view.View) bool {
	for _, status := range v.Status {
		if status.Condition != group.MemberSilent {
			continue
		}
		for _, vm := range status.Missing {
			if r.unreported(vm, time.Time{}) {
				return true
			}
		}
	}
	return false
}
