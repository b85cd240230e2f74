package daemon

import (
	"sync/atomic"
	"time"

	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/group"
	"github.com/plantainmux/plantainmux/internal/view"
)

// readiness says whether the balancer may send requests to this daemon. A new
// daemon needs its configuration, the groups, and word of each member of the
// groups: without it, the daemon would refuse what the others serve. Once
// ready, it stays so; what fails later is told by refusals.
type readiness struct {
	unheard func(vm fleet.VMID, since time.Time) bool
	grace   time.Duration // a member of which nobody speaks for so long is missing

	ready atomic.Bool
	known atomic.Int64 // Unix nanoseconds when the configuration and the groups were first known
}

func newReadiness(unheard func(fleet.VMID, time.Time) bool, grace time.Duration) *readiness {
	return &readiness{unheard: unheard, grace: grace}
}

// check judges the view of this moment.
func (r *readiness) check(v *view.View, now time.Time) bool {
	if r.ready.Load() {
		return true
	}
	if v.Config.Version == 0 || !v.GroupsKnown {
		return false
	}
	r.known.CompareAndSwap(0, now.UnixNano())
	waited := now.Sub(time.Unix(0, r.known.Load()))
	if waited < r.grace && r.waits(v) {
		return false
	}
	r.ready.Store(true)
	return true
}

// waits reports whether nobody has spoken yet of a member that keeps its group
// from serving.
func (r *readiness) waits(v *view.View) bool {
	for _, status := range v.Status {
		if status.Condition != group.MemberSilent {
			continue
		}
		for _, vm := range status.Missing {
			if r.unheard(vm, time.Time{}) {
				return true
			}
		}
	}
	return false
}
