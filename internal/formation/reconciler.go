package formation

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/plantainmux/plantainmux/internal/awake"
	"github.com/plantainmux/plantainmux/internal/catalog"
	"github.com/plantainmux/plantainmux/internal/demand"
	"github.com/plantainmux/plantainmux/internal/evacuation"
	"github.com/plantainmux/plantainmux/internal/keyed"
	"github.com/plantainmux/plantainmux/internal/ledger"
	"github.com/plantainmux/plantainmux/internal/loadlimit"
	"github.com/plantainmux/plantainmux/internal/registry"
	"github.com/plantainmux/plantainmux/internal/targetstats"
)

const (
	reconcileInterval  = 200 * time.Millisecond // without a wake-up
	minReconcileGap    = 15 * time.Millisecond  // between two rounds, however frequent the wake-ups
	proposeTimeout     = 1500 * time.Millisecond
	orderTimeout       = 800 * time.Millisecond // per attempt
	orderRetryInterval = 1200 * time.Millisecond
	// maxUnansweredOrders is the number of unanswered orders after which a head without a registry entry is doubtful.
	maxUnansweredOrders = 2
	stageRetryInterval  = 20 * time.Second       // longer than a load from the weight store
	probeTimeout        = 130 * time.Millisecond // longer than a round trip between data centres plus the report of a busy endpoint
	probeAttempts       = 2
	maxProbeAttempts    = 6 // with those in which this process stood still
	probeInterval       = 500 * time.Millisecond
	maxNewsWait         = 400 * time.Millisecond // for news of events at other daemons, after the probes of a group began
	// maxReachProbes is the number of endpoints that are probed to find out whether this daemon
	// reaches any.
	maxReachProbes = 4
	workers        = 96
)

// Dependencies are the collaborators of a Reconciler.
type Dependencies struct {
	Catalog       func() *catalog.Catalog
	Endpoints     func() *registry.Snapshot
	Ledger        *ledger.Ledger
	Engines       Engines
	Owns          func(domain string) bool
	BeforeTraffic func() bool                                  // reports whether no request has arrived yet
	Owners        func(domains []string) int                   // number of daemons that plan any of the domains
	LoadLimit     targetstats.SharePolicy                      // of loads that begin, over all daemons; its rate is the service's
	Demand        func(service string) map[string]demand.Total // smoothed, by model; nil: not known
	PresentDemand func(service, model string) demand.Total     // over the last 2 s; nil: not known
	Evacuations   func() []evacuation.InForce                  // nil: there are none
	InProgress    func(group string, epoch uint64) int         // requests in progress at a group, as far as they are known
	// ServedSince reports whether a group has sent an event to any daemon later than a time, as far as
	// this daemon knows; nil: not known.
	ServedSince func(group string, epoch uint64, since time.Time) bool
	NewsDelay   func() time.Duration // with which this daemon learns of events at the others; nil: at once
	Shifted     func(shift Shift)    // is called for each change of groups to another model; nil: not
	CanWrite    func() bool          // reports whether the store was reachable recently
	// ExpectChange announces that the registry entries are expected to change after a duration.
	ExpectChange func(after time.Duration)
	// Standstills of this process: what is not answered meanwhile may be answered and wait unread; nil: not known.
	Standstills *awake.Standstills
	Logger      *slog.Logger
}

// Reconciler periodically computes a plan and executes it.
type Reconciler struct {
	Dependencies
	observations *observations
	pool         pond.Pool
	loads        loadlimit.Limiter // by Run alone
	shifts       ShiftTracker      // by Run alone
	wake         chan struct{}

	converging atomic.Bool
}

// NewReconciler returns a Reconciler; call Run to start it.
func NewReconciler(dependencies Dependencies) *Reconciler {
	return &Reconciler{
		Dependencies: dependencies,
		observations: newObservations(),
		pool:         pond.NewPool(workers),
		wake:         make(chan struct{}, 1),
	}
}

// Wake triggers a planning round soon.
func (r *Reconciler) Wake() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Run executes planning rounds until ctx is done.
func (r *Reconciler) Run(ctx context.Context) {
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		r.reconcile(ctx)
		select {
		case <-ctx.Done():
			r.pool.StopAndWait()
			return
		case <-ticker.C:
		case <-r.wake:
		}
		time.Sleep(minReconcileGap)
	}
}

// Converging reports whether any group that this daemon plans does not yet match
// its record.
func (r *Reconciler) Converging() bool { return r.converging.Load() }

func (r *Reconciler) input() (Input, bool) {
	current := r.Catalog()
	if current == nil {
		return Input{}, false
	}
	now := time.Now()
	groups := r.Ledger.Load()
	r.shifts.Observe(groups, now)
	evacuated := r.evacuated()
	r.shifts.ObserveEvacuated(slices.Sorted(maps.Keys(evacuated)))
	return Input{
		Catalog: current, Endpoints: r.Endpoints(), Groups: groups, Health: r.observations.health(),
		Owns: r.Owns, BeforeTraffic: r.BeforeTraffic(), EraAge: r.Ledger.EraAge(now), Now: now,
		Demand: r.demand(current), PresentDemand: r.PresentDemand, Evacuated: evacuated, InProgress: r.InProgress, Shifts: r.shifts.Load(),
	}, true
}

func (r *Reconciler) reconcile(ctx context.Context) {
	in, ok := r.input()
	if !ok {
		return
	}
	r.observations.prune(in.Now, func(id string) bool { return in.Endpoints.ByID[id] != nil })
	r.reprobeUnhealthy(ctx, in)
	r.probeAbsent(ctx, in)
	in.Health = r.observations.health()
	plan := MakePlan(in)
	r.shifts.Review(plan.Paying, in.Now)
	r.converging.Store(plan.Converging)
	if len(plan.Grants)+len(plan.Drops) > 0 && r.CanWrite() {
		r.propose(ctx, in.Groups, plan)
	}
	r.setLoadRate(in)
	for _, order := range plan.Orders {
		r.dispatch(ctx, order, in)
	}
}

func (r *Reconciler) propose(ctx context.Context, state *ledger.State, plan Plan) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	err := r.Ledger.Propose(ctx, state, plan.Grants, plan.Drops)
	var conflict *keyed.ConflictError
	var eraChanged *ledger.EraChangedError
	switch {
	case err == nil:
		r.logShifts(plan)
		r.Wake()
	case errors.As(err, &eraChanged):
		r.Logger.Warn("group records are void: the store has come back from an older copy", "planned_era", eraChanged.Planned, "era", eraChanged.Era)
	case errors.As(err, &conflict):
		r.Logger.Info("group records not written: ledger has newer records", "end", state.End, "now", conflict.End)
	default:
		r.Logger.Warn("failed to write group records", "end", state.End, "error", err)
	}
}

// setLoadRate sets this daemon's share of the permitted model loads, which is divided equally among
// the daemons that plan.
func (r *Reconciler) setLoadRate(in Input) {
	for _, service := range in.Catalog.Services {
		if !service.Grouped() || service.Performance == nil || service.Performance.LoadsPerSecond <= 0 {
			continue
		}
		domains := map[string]bool{}
		plans := false
		for _, e := range in.Endpoints.ByService[service.Name] {
			if !domains[e.Domain] {
				domains[e.Domain] = true
				plans = plans || in.Owns(e.Domain)
			}
		}
		limit := r.LoadLimit
		limit.PerS = service.Performance.LoadsPerSecond
		r.loads.Update(limit, r.Owners(slices.Collect(maps.Keys(domains))), plans, in.Now)
		return
	}
}

// dispatch sends an order unless it was sent recently or the load rate limit is
// reached.
func (r *Reconciler) dispatch(ctx context.Context, order Order, in Input) {
	if !r.observations.tryOrder(order, in.Now, retryInterval(order)) {
		return
	}
	if order.NeedsLoad && !in.BeforeTraffic && !r.loads.Allow(in.Now) {
		r.observations.cancelOrder(order)
		return
	}
	r.pool.Submit(func() { r.execute(ctx, order) })
}

func (r *Reconciler) execute(ctx context.Context, order Order) {
	started := time.Now()
	call, cancel := context.WithTimeout(ctx, orderTimeout)
	err := r.Engines.Order(call, order)
	heldUp := call.Err() != nil && r.Standstills.Stood(started, time.Now()) > 0
	cancel()
	r.observations.finishOrder(order)
	if order.Operation != Leave && order.Operation != Vacate || !heldUp {
		r.recordOutcome(ctx, order, err)
	}
	r.Logger.Info("order sent to endpoint", "endpoint", order.To.ID, "operation", order.Operation, "group", order.Group, "epoch", order.Epoch,
		"model", order.Model, "loads", order.NeedsLoad, "took_ms", time.Since(started).Milliseconds(), "error", err)
	if err == nil && order.Operation != Leave && order.Operation != Stage {
		r.ExpectChange(order.EffectAfter)
	}
	r.Wake()
}

// recordOutcome records from the result of an order whether a former head drains, has
// released its group or cannot be told to, and whether a member has left it.
func (r *Reconciler) recordOutcome(ctx context.Context, order Order, err error) {
	former := ledger.FormerGroup{Group: order.Group, Epoch: order.Epoch, Head: order.To}
	var gone *GoneError
	var refused *RefusedError
	switch {
	case order.Operation == Drain:
		r.observations.setDraining(former, time.Now())
	case order.Operation == Vacate:
		if provesLeft(err) {
			r.observations.setVacated(order.To, order.Group, order.Epoch, time.Now())
		}
	case order.Operation != Leave:
	case provesLeft(err):
		r.observations.setReleased(former, time.Now())
	case errors.As(err, &refused):
		r.doubt(former, "order rejected")
	case errors.As(err, &gone):
		if r.reachesAnother(ctx, order.To) {
			r.doubt(former, "connection refused")
		}
	default:
		r.recordUnanswered(ctx, former)
	}
}

// provesLeft reports whether the result of an order to leave a group shows that its receiver is not in the
// group any more. A refused connection does not: it may be refused on the way.
func provesLeft(err error) bool {
	var gone *GoneError
	var refused *RefusedError
	switch {
	case errors.As(err, &gone):
		return !gone.Refused
	case errors.As(err, &refused):
		return refused.NotInGroup
	default:
		return err == nil
	}
}

// doubt records that a former head cannot be told to leave: its members have to leave it.
func (r *Reconciler) doubt(former ledger.FormerGroup, reason string) {
	if r.observations.setDoubtful(former) {
		r.Logger.Info("former group head cannot be told to leave; its members are to leave it", "endpoint", former.Head.ID, "group", former.Group, "epoch", former.Epoch, "reason", reason)
	}
}

// reachesAnother reports whether any of a few endpoints beside one answers a probe.
func (r *Reconciler) reachesAnother(ctx context.Context, except ledger.Member) bool {
	probed := 0
	for id, e := range r.Endpoints().ByID {
		if id == except.ID || e.Domain == "" {
			continue
		}
		if alive, _ := r.probeMember(ctx, memberOf(e)); alive {
			return true
		}
		if probed++; probed == maxReachProbes {
			return false
		}
	}
	return false
}

// recordUnanswered records an unanswered order to a former head without a registry entry. If another member of
// its group answers, the group as a whole is not partitioned.
func (r *Reconciler) recordUnanswered(ctx context.Context, former ledger.FormerGroup) {
	endpoints := r.Endpoints()
	if endpoints.ByID[former.Head.ID] != nil {
		return
	}
	companion := slices.ContainsFunc(otherMembers(former, endpoints), func(other ledger.Member) bool {
		alive, _ := r.probeMember(ctx, other)
		return alive
	})
	if companion && r.observations.countUnanswered(former) >= maxUnansweredOrders {
		r.doubt(former, "orders unanswered")
	}
}

// retryInterval returns the time after which an order without visible effect is
// sent again.
func retryInterval(order Order) time.Duration {
	if order.Operation == Stage {
		return stageRetryInterval
	}
	return orderRetryInterval
}
