package reconcile

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/group"
	"github.com/plantainmux/plantainmux/internal/rendezvous"
	"github.com/plantainmux/plantainmux/internal/view"
)

const (
	sendersPerMember = 2 // daemons that send the orders for one member
	plannerKey       = "planner"
	wakeDelay        = 10 * time.Millisecond // wait after a wake, which limits the rate of rounds
)

// Loop is the reconcile loop of one daemon. A round does no I/O: proposals and
// orders are sent concurrently, so that the view is refreshed even while the log
// or a member does not respond.
type Loop struct {
	Dependencies
	wake        chan struct{}
	loads       map[fleet.FencingNumber]*view.Load
	history     *group.History
	roster      group.Roster
	known       atomic.Pointer[map[fleet.VMID]fleet.VM]
	proposer    *proposer
	orderSender *orderSender
	metrics     *loopMetrics
}

// NewLoop returns a loop that has not started.
func NewLoop(dependencies Dependencies) *Loop {
	l := &Loop{
		Dependencies: dependencies,
		wake:         make(chan struct{}, 1),
		loads:        map[fleet.FencingNumber]*view.Load{},
		history:      group.NewHistory(),
		metrics:      newLoopMetrics(dependencies.Metrics),
	}
	l.known.Store(&map[fleet.VMID]fleet.VM{})
	l.proposer = newProposer(dependencies, l.metrics)
	l.orderSender = newOrderSender(dependencies, l.metrics)
	return l
}

// Known returns the VMs to watch: the listed VMs and the members of all groups.
// Callers must not modify the map.
func (l *Loop) Known() map[fleet.VMID]fleet.VM {
	return *l.known.Load()
}

// Wake triggers a round without waiting for the next period. It does not block.
func (l *Loop) Wake() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Run runs rounds until ctx is done.
func (l *Loop) Run(ctx context.Context) {
	ticker := time.NewTicker(l.Period)
	defer ticker.Stop()
	defer l.proposer.stop()
	defer l.orderSender.stop()
	for {
		l.round(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-l.wake:
			time.Sleep(wakeDelay)
		}
	}
}

func (l *Loop) round(ctx context.Context) {
	var plan group.Plan
	var targets []group.ControlTarget
	candidates := l.WithLog()
	groupsKnown := l.Groups.Known()
	planning := l.isPlanner(candidates) && l.proposer.idle()
	// The function must not call methods of the stream: a second read lock behind
	// a waiting writer deadlocks.
	l.Groups.Read(func(fold *group.Fold) {
		in := l.input(fold)
		l.publish(in, groupsKnown)
		if planning {
			plan = l.plan(in)
		}
		targets = l.targets(in, candidates)
	})
	l.proposer.start(ctx, plan)
	for _, target := range targets {
		l.orderSender.start(ctx, target, l.Known()[target.VM])
	}
}

// input collects the planner's input. The time is taken after the observations,
// so that none of them is newer.
func (l *Loop) input(fold *group.Fold) group.Input {
	observations := l.Table.All()
	now := time.Now()
	known := l.roster.Update(l.VMs.All(), fold, observations, now, l.Bounds.ReportBound)
	l.known.Store(&known)
	in := group.Input{
		DataCentre: l.DataCentre,
		Fold:       fold,
		World:      group.World{VMs: known, Observations: observations},
		History:    l.history,
		Config:     l.Config().Configuration,
		Now:        now,
		Bounds:     l.Bounds,
	}
	l.history.Update(in)
	return in
}

// plan makes a plan and records how long that took.
func (l *Loop) plan(in group.Input) group.Plan {
	started := time.Now()
	plan := group.MakePlan(in)
	l.metrics.planSeconds.UpdateDuration(started)
	return plan
}

// isPlanner reports whether this daemon is the planner. A daemon without a
// configuration must not plan, since by an empty one it would release all groups.
func (l *Loop) isPlanner(candidates []fleet.DaemonID) bool {
	return l.Groups.Booted() && l.Config().Version != 0 && rendezvous.Chosen(plannerKey, candidates, 1, l.Self)
}

// targets returns the pending orders for the members that this daemon is chosen
// to send orders to.
func (l *Loop) targets(in group.Input, candidates []fleet.DaemonID) []group.ControlTarget {
	var targets []group.ControlTarget
	for vm, observation := range in.World.Observations {
		if !observation.Fresh(in.Now, in.Bounds.ReportBound) {
			continue
		}
		target, ok := group.Target(in.Fold, observation)
		if ok && rendezvous.Chosen(string(vm), candidates, sendersPerMember, l.Self) {
			targets = append(targets, target)
		}
	}
	return targets
}
