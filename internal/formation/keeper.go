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
	"golang.org/x/time/rate"

	"github.com/plantainmux/plantainmux/internal/catalog"
	"github.com/plantainmux/plantainmux/internal/keyed"
	"github.com/plantainmux/plantainmux/internal/ledger"
	"github.com/plantainmux/plantainmux/internal/registry"
)

const (
	reconcileInterval  = 200 * time.Millisecond // without a wake-up
	minReconcileGap    = 15 * time.Millisecond  // between two rounds, however frequent the wake-ups
	proposeTimeout     = 1500 * time.Millisecond
	orderTimeout       = 800 * time.Millisecond // per attempt
	orderRetryInterval = 1200 * time.Millisecond
	stageRetryInterval = 20 * time.Second       // longer than a load from the weight store
	probeTimeout       = 130 * time.Millisecond // longer than a round trip between zones plus the report of a busy endpoint
	// loadBurst is the number of loads that may start at once, within the margin that
	// the load rate leaves below the limit on concurrent loads.
	loadBurst     = 3
	probeAttempts = 2
	probeInterval = 500 * time.Millisecond
	workers       = 96
)

// Dependencies are the collaborators of a Keeper.
type Dependencies struct {
	Catalog   func() *catalog.Catalog
	Endpoints func() *registry.Snapshot
	Ledger    *ledger.Ledger
	Engines   Engines
	Owns      func(domain string) bool
	Quiet     func() bool                // reports whether no request has arrived yet
	Owners    func(domains []string) int // number of daemons that plan any of the domains
	CanWrite  func() bool                // reports whether the store was reachable recently
	Refresh   func()                     // triggers an immediate read of the registry entries and the ledger
	Logger    *slog.Logger
}

// Keeper periodically computes a plan and executes it.
type Keeper struct {
	Dependencies
	observations *observations
	pool         pond.Pool
	loads        *rate.Limiter
	wake         chan struct{}

	unsettled atomic.Bool
}

// NewKeeper returns a Keeper; call Run to start it.
func NewKeeper(dependencies Dependencies) *Keeper {
	return &Keeper{
		Dependencies: dependencies,
		observations: newObservations(),
		pool:         pond.NewPool(workers),
		loads:        rate.NewLimiter(1, loadBurst),
		wake:         make(chan struct{}, 1),
	}
}

// Wake triggers a planning round soon.
func (k *Keeper) Wake() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// Run executes planning rounds until ctx is done.
func (k *Keeper) Run(ctx context.Context) {
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		k.reconcile(ctx)
		select {
		case <-ctx.Done():
			k.pool.StopAndWait()
			return
		case <-ticker.C:
		case <-k.wake:
		}
		time.Sleep(minReconcileGap)
	}
}

// Unsettled reports whether any group that this daemon plans does not yet match
// its record.
func (k *Keeper) Unsettled() bool { return k.unsettled.Load() }

func (k *Keeper) input() (Input, bool) {
	current := k.Catalog()
	if current == nil {
		return Input{}, false
	}
	return Input{
		Catalog: current, Endpoints: k.Endpoints(), Groups: k.Ledger.Load(), Health: k.observations.health(),
		Owns: k.Owns, BeforeTraffic: k.Quiet(), Now: time.Now(),
	}, true
}

func (k *Keeper) reconcile(ctx context.Context) {
	in, ok := k.input()
	if !ok {
		return
	}
	k.observations.prune(in.Now, func(id string) bool { return in.Endpoints.ByID[id] != nil })
	k.reprobeUnhealthy(ctx, in)
	k.probeAbsent(ctx, in)
	in.Health = k.observations.health()
	plan := MakePlan(in)
	k.unsettled.Store(plan.Unsettled)
	if len(plan.Grants)+len(plan.Drops) > 0 && k.CanWrite() {
		k.propose(ctx, in.Groups, plan)
	}
	k.setLoadRate(in)
	for _, order := range plan.Orders {
		k.dispatch(ctx, order, in)
	}
}

func (k *Keeper) propose(ctx context.Context, state *ledger.State, plan Plan) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	err := k.Ledger.Propose(ctx, state, plan.Grants, plan.Drops)
	var conflict *keyed.ConflictError
	switch {
	case err == nil:
		k.Wake()
	case errors.As(err, &conflict):
		k.Logger.Info("group records not written: ledger has newer records", "end", state.End, "now", conflict.End)
		k.Refresh()
	default:
		k.Logger.Warn("failed to write group records", "end", state.End, "error", err)
	}
}

// setLoadRate sets this daemon's share of the permitted model loads per second,
// which is divided equally among the daemons that plan.
func (k *Keeper) setLoadRate(in Input) {
	for _, service := range in.Catalog.Services {
		if !service.Grouped() || service.Pace == nil || service.Pace.LoadsPerS <= 0 {
			continue
		}
		domains := map[string]bool{}
		for _, e := range in.Endpoints.ByService[service.Name] {
			domains[e.Domain] = true
		}
		owners := k.Owners(slices.Collect(maps.Keys(domains)))
		k.loads.SetLimit(rate.Limit(service.Pace.LoadsPerS / float64(max(owners, 1))))
		return
	}
}

// dispatch sends an order unless it was sent recently or the load rate limit is
// reached.
func (k *Keeper) dispatch(ctx context.Context, order Order, in Input) {
	if !k.observations.tryOrder(order, in.Now, retryInterval(order)) {
		return
	}
	if order.Loads && !in.BeforeTraffic && !k.loads.Allow() {
		k.observations.cancelOrder(order)
		return
	}
	k.pool.Submit(func() { k.execute(ctx, order) })
}

func (k *Keeper) execute(ctx context.Context, order Order) {
	started := time.Now()
	call, cancel := context.WithTimeout(ctx, orderTimeout)
	err := k.Engines.Order(call, order)
	cancel()
	k.observations.finishOrder(order)
	k.recordOutcome(ctx, order, err)
	k.Logger.Info("order sent to endpoint", "endpoint", order.To.ID, "operation", order.Operation, "group", order.Group, "epoch", order.Epoch,
		"model", order.Model, "loads", order.Loads, "took_ms", time.Since(started).Milliseconds(), "error", err)
	k.Refresh()
	k.Wake()
}

// recordOutcome records from the result of an order whether a former head drains
// or has released its group.
func (k *Keeper) recordOutcome(ctx context.Context, order Order, err error) {
	former := ledger.Former{Group: order.Group, Epoch: order.Epoch, Head: order.To}
	var gone *GoneError
	var refused *RefusedError
	switch order.Operation {
	case Finish:
		k.observations.setDraining(former, time.Now())
	case Leave:
		switch {
		case err == nil, errors.As(err, &gone), errors.As(err, &refused):
			k.observations.setReleased(former)
		default:
			k.recordUnanswered(ctx, former)
		}
	}
}

// recordUnanswered records a former head as released if it has no registry entry,
// left several orders unanswered, and another member of its group answers a probe.
// If none answers, the whole group may be partitioned from this daemon and still
// be serving.
func (k *Keeper) recordUnanswered(ctx context.Context, former ledger.Former) {
	endpoints := k.Endpoints()
	if endpoints.ByID[former.Head.ID] != nil {
		return
	}
	for _, other := range otherMembers(former, endpoints) {
		if alive, _ := k.probeMember(ctx, other); !alive {
			continue
		}
		if k.observations.countUnanswered(former) {
			k.observations.setReleased(former)
			k.Logger.Info("former group head does not answer; treating its group as released", "endpoint", former.Head.ID, "group", former.Group, "epoch", former.Epoch, "companion", other.ID)
		}
		return
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
