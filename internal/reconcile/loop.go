package reconcile

import (
	"context"
	"errors"
	"time"

	"github.com/plantainmux/plantainmux/internal/config"
	"github.com/plantainmux/plantainmux/internal/endpoint"
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/group"
	"github.com/plantainmux/plantainmux/internal/logstream"
	"github.com/plantainmux/plantainmux/internal/rendezvous"
	"github.com/plantainmux/plantainmux/internal/view"
)

const (
	watchersPerMember = 2
	plannerKey        = "planner"
	proposeTimeout    = 5 * time.Second
	// confirmBound is how old a daemon's view of the stream may be when it sends
	// an order to an engine that does not check fencing numbers.
	confirmBound = 500 * time.Millisecond
	minWakeGap   = 10 * time.Millisecond
)

// Loop is the reconcile loop of one daemon.
type Loop struct {
	Dependencies
	wake  chan struct{}
	loads map[fleet.FencingNumber]*view.Load
}

// NewLoop returns a loop that has not started.
func NewLoop(dependencies Dependencies) *Loop {
	return &Loop{
		Dependencies: dependencies,
		wake:         make(chan struct{}, 1),
		loads:        map[fleet.FencingNumber]*view.Load{},
	}
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
	now := time.Now()
	in := group.Input{
		DataCentre: l.DataCentre,
		World:      group.World{VMs: l.VMs.All(), Observations: l.Table.All()},
		Config:     l.Config().Configuration,
		Now:        now,
		Bounds:     l.Bounds,
	}
	var plan group.Plan
	var targets []group.ControlTarget
	l.Groups.Read(func(fold *group.Fold) {
		in.Fold = fold
		l.publish(in)
		if l.isPlanner() {
			plan = group.MakePlan(in)
		}
		targets = l.targets(in)
	})
	l.propose(ctx, plan)
	for _, target := range targets {
		l.order(ctx, in, target)
	}
}

func (l *Loop) isPlanner() bool {
	return l.Groups.Booted() && rendezvous.Chosen(plannerKey, l.Live(), 1, l.Self)
}

// publish builds the view of this moment.
func (l *Loop) publish(in group.Input) {
	current := l.Config()
	next := &view.View{
		Config:   current,
		Teams:    teamsByKey(current.Configuration),
		Services: servicesByName(current.Configuration),
		At:       in.Now,
	}
	for _, record := range in.Fold.Groups() {
		condition := group.Check(record, in.World, in.Now, in.Bounds.ReportBound)
		next.Status = append(next.Status, view.GroupStatus{Group: record.Group, Condition: condition})
		if condition == group.Complete {
			next.Groups = append(next.Groups, l.serving(record, in))
		}
	}
	l.dropLoads(in.Fold)
	l.Views.Publish(next)
}

func (l *Loop) serving(record *group.Record, in group.Input) *view.Serving {
	leader := record.Leader()
	report := in.World.Observations[leader].Report
	load, ok := l.loads[record.Fencing]
	if !ok {
		load = &view.Load{}
		l.loads[record.Fencing] = load
	}
	return &view.Serving{
		Group:         record.Group,
		LeaderAddress: in.World.VMs[leader].Address,
		Capacity:      capacityOf(in.Config, record.Model),
		Running:       report.Running,
		Waiting:       report.Waiting,
		Load:          load,
		ProvenUntil:   provenUntil(record, in),
	}
}

// provenUntil returns when the oldest report of the members grows too old.
func provenUntil(record *group.Record, in group.Input) time.Time {
	oldest := in.Now
	for _, vm := range record.Members {
		if at := in.World.Observations[vm].At; at.Before(oldest) {
			oldest = at
		}
	}
	return oldest.Add(in.Bounds.ReportBound)
}

func (l *Loop) dropLoads(fold *group.Fold) {
	for fencing := range l.loads {
		if _, ok := fold.Groups()[fencing]; !ok {
			delete(l.loads, fencing)
		}
	}
}

func capacityOf(configuration config.Configuration, name fleet.ModelName) int {
	for _, model := range configuration.Models {
		if model.Name == name {
			return model.Requests
		}
	}
	return 1
}

func teamsByKey(configuration config.Configuration) map[string]config.Team {
	teams := map[string]config.Team{}
	for _, team := range configuration.Teams {
		for _, hash := range team.KeyHashes {
			teams[hash] = team
		}
	}
	return teams
}

func servicesByName(configuration config.Configuration) map[string]config.Service {
	services := map[string]config.Service{}
	for _, service := range configuration.Services {
		services[service.Name] = service
	}
	return services
}

// propose appends the plan and waits for the verdicts, so that the next plan
// is made on their outcome.
func (l *Loop) propose(ctx context.Context, plan group.Plan) {
	if plan.Empty() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	tasks := l.Pool.NewGroup()
	for _, release := range plan.Releases {
		tasks.Submit(func() { l.proposeOne(ctx, group.KindRelease, release) })
	}
	for _, ready := range plan.Readies {
		tasks.Submit(func() { l.proposeOne(ctx, group.KindReady, ready) })
	}
	for _, form := range plan.Forms {
		tasks.Submit(func() { l.proposeOne(ctx, group.KindForm, form) })
	}
	_ = tasks.Wait()
}

func (l *Loop) proposeOne(ctx context.Context, kind logstream.Kind, body any) {
	receipt, err := l.Groups.Propose(ctx, kind, body)
	switch {
	case err != nil:
		l.Logger.Warn("proposal without verdict", "kind", kind, "error", err)
	case receipt.Void != nil:
		l.Logger.Info("proposal void", "kind", kind, "offset", receipt.Offset, "reason", receipt.Void)
	default:
		l.Logger.Info("proposal accepted", "kind", kind, "offset", receipt.Offset, "body", body)
	}
}

// targets returns the orders for the members that this daemon watches.
func (l *Loop) targets(in group.Input) []group.ControlTarget {
	var targets []group.ControlTarget
	live := l.Live()
	for vm, observation := range in.World.Observations {
		if !observation.Fresh(in.Now, in.Bounds.ReportBound) || !rendezvous.Chosen(string(vm), live, watchersPerMember, l.Self) {
			continue
		}
		if target, ok := group.Target(in.Fold, observation); ok {
			targets = append(targets, target)
		}
	}
	return targets
}

func (l *Loop) order(ctx context.Context, in group.Input, target group.ControlTarget) {
	vm, ok := in.World.VMs[target.VM]
	if !ok {
		return
	}
	l.Pool.Go(func() { l.send(ctx, vm, target) })
}

// send orders a member after it has made sure that the order is still right.
func (l *Loop) send(ctx context.Context, vm fleet.VM, target group.ControlTarget) {
	if !l.stillRight(ctx, target) {
		return
	}
	order := endpoint.ControlOrder{Action: endpoint.Release, Fencing: target.Fencing}
	if target.Join {
		order.Action = endpoint.Join
		order.Group = target.Group
	}
	started := time.Now()
	report, err := l.Engine.Control(ctx, vm.Address, order)
	if err != nil {
		l.noteOrderFailure(vm, order, err)
		return
	}
	l.Logger.Info("member ordered", "vm", vm.ID, "action", order.Action, "fencing", order.Fencing)
	l.Table.Put(group.Observation{Report: report, At: started})
}

// stillRight reads the stream to its end unless that was done a moment ago.
func (l *Loop) stillRight(ctx context.Context, target group.ControlTarget) bool {
	if time.Since(l.Groups.ConfirmedAt()) > confirmBound {
		if err := l.Groups.Confirm(ctx); err != nil {
			return false
		}
	}
	right := false
	l.Groups.Read(func(fold *group.Fold) { right = fold.VM(target.VM).Fence == target.Fencing })
	return right
}

func (l *Loop) noteOrderFailure(vm fleet.VM, order endpoint.ControlOrder, err error) {
	var stale *endpoint.StaleFencingError
	if errors.As(err, &stale) {
		l.Logger.Error("member has seen a higher fencing number", "vm", vm.ID, "error", err)
		return
	}
	l.Logger.Warn("order not confirmed", "vm", vm.ID, "action", order.Action, "error", err)
}
