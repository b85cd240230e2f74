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
	roundEvery   = 200 * time.Millisecond // when nothing changes
	minRoundGap  = 15 * time.Millisecond  // between two rounds, however much changes
	proposeLimit = 1500 * time.Millisecond
	orderLimit   = 800 * time.Millisecond // for the answer to one order
	orderAgain   = 1200 * time.Millisecond
	stageAgain   = 20 * time.Second       // above the time of a load from the shared store
	probeLimit   = 130 * time.Millisecond // above a round trip between zones and the time of a busy endpoint's report
	loadBurst    = 3                      // loads that may start at once: below what the ceiling leaves beside its rate
	probeTries   = 2
	probeAgain   = 500 * time.Millisecond
	workers      = 96
)

// Dependencies are what a keeper works with.
type Dependencies struct {
	Catalog   func() *catalog.Catalog
	Endpoints func() *registry.Snapshot
	Ledger    *ledger.Ledger
	Engines   Engines
	Owns      func(domain string) bool
	Quiet     func() bool                // no request has come yet
	Owners    func(domains []string) int // daemons that plan any of the domains
	CanWrite  func() bool                // the store was reached lately
	Refresh   func()                     // asks for the entries and the ledger to be read now
	Logger    *slog.Logger
}

// Keeper carries out plans.
type Keeper struct {
	Dependencies
	memory *memory
	pool   pond.Pool
	loads  *rate.Limiter
	wake   chan struct{}

	unsettled atomic.Bool
}

// NewKeeper returns a keeper that has not started.
func NewKeeper(dependencies Dependencies) *Keeper {
	return &Keeper{
		Dependencies: dependencies,
		memory:       newMemory(),
		pool:         pond.NewPool(workers),
		loads:        rate.NewLimiter(1, loadBurst),
		wake:         make(chan struct{}, 1),
	}
}

// Wake asks for a round soon.
func (k *Keeper) Wake() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// Run plans and orders until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	ticker := time.NewTicker(roundEvery)
	defer ticker.Stop()
	for {
		k.round(ctx)
		select {
		case <-ctx.Done():
			k.pool.StopAndWait()
			return
		case <-ticker.C:
		case <-k.wake:
		}
		time.Sleep(minRoundGap)
	}
}

// Unsettled reports whether some group that this daemon plans is not yet as its
// record says.
func (k *Keeper) Unsettled() bool { return k.unsettled.Load() }

func (k *Keeper) input() (Input, bool) {
	current := k.Catalog()
	if current == nil {
		return Input{}, false
	}
	return Input{
		Catalog: current, Endpoints: k.Endpoints(), Groups: k.Ledger.Load(), Health: k.memory.health(),
		Owns: k.Owns, Quiet: k.Quiet(), Now: time.Now(),
	}, true
}

func (k *Keeper) round(ctx context.Context) {
	in, ok := k.input()
	if !ok {
		return
	}
	k.memory.forget(in.Now, func(id string) bool { return in.Endpoints.ByID[id] != nil })
	k.probeMarked(ctx, in)
	k.probeAbsent(ctx, in)
	in.Health = k.memory.health()
	plan := MakePlan(in)
	k.unsettled.Store(plan.Unsettled)
	if len(plan.Grants)+len(plan.Drops) > 0 && k.CanWrite() {
		k.propose(ctx, in.Groups, plan)
	}
	k.setLoadRate(in)
	for _, order := range plan.Orders {
		k.give(ctx, order, in)
	}
}

func (k *Keeper) propose(ctx context.Context, state *ledger.State, plan Plan) {
	ctx, cancel := context.WithTimeout(ctx, proposeLimit)
	defer cancel()
	err := k.Ledger.Propose(ctx, state, plan.Grants, plan.Drops)
	var conflict *keyed.ConflictError
	switch {
	case err == nil:
		k.Wake()
	case errors.As(err, &conflict):
		k.Logger.Info("group records overtaken", "end", state.End, "now", conflict.End)
		k.Refresh()
	default:
		k.Logger.Warn("group records not written", "end", state.End, "error", err)
	}
}

// setLoadRate divides the loads that may start among the daemons that plan.
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

// give gives an order unless it was given just now or the store of weights has
// no room.
func (k *Keeper) give(ctx context.Context, order Order, in Input) {
	if !k.memory.begin(order, in.Now, again(order)) {
		return
	}
	if order.Loads && !in.Quiet && !k.loads.Allow() {
		k.memory.cancel(order)
		return
	}
	k.pool.Submit(func() { k.carryOut(ctx, order) })
}

func (k *Keeper) carryOut(ctx context.Context, order Order) {
	started := time.Now()
	call, cancel := context.WithTimeout(ctx, orderLimit)
	err := k.Engines.Order(call, order)
	cancel()
	k.memory.finish(order)
	k.noteOutcome(ctx, order, err)
	k.Logger.Info("order given", "endpoint", order.To.ID, "operation", order.Operation, "group", order.Group, "epoch", order.Epoch,
		"model", order.Model, "loads", order.Loads, "took_ms", time.Since(started).Milliseconds(), "error", err)
	k.Refresh()
	k.Wake()
}

// noteOutcome learns what a former head can still do.
func (k *Keeper) noteOutcome(ctx context.Context, order Order, err error) {
	former := ledger.Former{Group: order.Group, Epoch: order.Epoch, Head: order.To}
	var gone *GoneError
	var refused *RefusedError
	switch order.Operation {
	case Finish:
		k.memory.noteClosing(former, time.Now())
	case Leave:
		switch {
		case err == nil, errors.As(err, &gone), errors.As(err, &refused):
			k.memory.noteLetGo(former)
		default:
			k.noteUnanswered(ctx, former)
		}
	}
}

// noteUnanswered counts a former head as gone if its entry is missing, it did not
// answer several times, and a companion of its group does answer: otherwise the
// whole group may be cut off from here and serve on.
func (k *Keeper) noteUnanswered(ctx context.Context, former ledger.Former) {
	endpoints := k.Endpoints()
	if endpoints.ByID[former.Head.ID] != nil {
		return
	}
	for _, companion := range companions(former, endpoints) {
		if alive, _ := k.ask(ctx, companion); !alive {
			continue
		}
		if k.memory.noteUnanswered(former) {
			k.memory.noteLetGo(former)
			k.Logger.Info("former head given up", "endpoint", former.Head.ID, "group", former.Group, "epoch", former.Epoch, "companion", companion.ID)
		}
		return
	}
}

// again returns the time after which an order that shows no effect is repeated.
func again(order Order) time.Duration {
	if order.Operation == Stage {
		return stageAgain
	}
	return orderAgain
}
