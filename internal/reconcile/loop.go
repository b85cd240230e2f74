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
	orderersPerMember = 2
	plannerKey        = "planner"
	minWakeGap        = 10 * time.Millisecond
)

// Loop is the reconcile loop of one daemon. A round does no I/O: proposals and
// orders go on beside it, so that the view is refreshed also while the log or a
// member does not answer.
type Loop struct {
	Dependencies
	wake     chan struct{}
	loads    map[fleet.FencingNumber]*view.Load
	history  *group.History
	roster   group.Roster
	known    atomic.Pointer[map[fleet.VMID]fleet.VM]
	proposer *proposer
	orderer  *orderer
	metrics  *loopMetrics
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
	l.orderer = newOrderer(dependencies, l.metrics)
	return l
}

// Known returns the VMs to watch: the listed ones and the members of all
// groups. The map must not be changed.
func (l *Loop) Known() map[fleet.VMID]fleet.VM {
	return *l.known.Load()
}

// Wake asks for a round soon.
func (l *Loop) Wake() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Run reconciles until ctx ends.
func (l *Loop) Run(ctx context.Context) {
	ticker := time.NewTicker(l.Period)
	defer ticker.Stop()
	defer l.proposer.stop()
	defer l.orderer.stop()
	for {
		l.round(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-l.wake:
			time.Sleep(minWakeGap)
		}
	}
}

func (l *Loop) round(ctx context.Context) {
	var plan group.Plan
	var targets []group.ControlTarget
	candidates := l.WithLog()
	known := l.Groups.Known()
	plans := l.isPlanner(candidates) && l.proposer.begin()
	// Nothing in here may ask the stream: a reader that locks again behind a
	// waiting writer waits for ever.
	l.Groups.Read(func(fold *group.Fold) {
		in := l.input(fold)
		l.publish(in, known)
		if plans {
			plan = l.plan(in)
		}
		targets = l.targets(in, candidates)
	})
	l.proposer.start(ctx, plan)
	for _, target := range targets {
		l.orderer.start(ctx, target, l.Known()[target.VM])
	}
}

// input gathers what is known. The time is taken last, so that no observation
// is younger.
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

func (l *Loop) plan(in group.Input) group.Plan {
	started := time.Now()
	plan := group.MakePlan(in)
	l.metrics.planSeconds.UpdateDuration(started)
	return plan
}

// isPlanner reports whether this daemon plans. One that knows no configuration
// yet must not: by an empty one, no group is wanted.
func (l *Loop) isPlanner(candidates []fleet.DaemonID) bool {
	return l.Groups.Booted() && l.Config().Version != 0 && rendezvous.Chosen(plannerKey, candidates, 1, l.Self)
}

// targets returns the orders for the members that this daemon is chosen for.
func (l *Loop) targets(in group.Input, candidates []fleet.DaemonID) []group.ControlTarget {
	var targets []group.ControlTarget
	for vm, observation := range in.World.Observations {
		if !observation.Fresh(in.Now, in.Bounds.ReportBound) {
			continue
		}
		target, ok := group.Target(in.Fold, observation)
		if ok && rendezvous.Chosen(string(vm), candidates, orderersPerMember, l.Self) {
			targets = append(targets, target)
		}
	}
	return targets
}
