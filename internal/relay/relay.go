// Package relay runs a request on groups until one answer is whole.
package relay

import (
	"context"
	"time"

	"github.com/plantainmux/plantainmux/internal/endpoint"
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/metric"
	"github.com/plantainmux/plantainmux/internal/refusal"
	"github.com/plantainmux/plantainmux/internal/request"
	"github.com/plantainmux/plantainmux/internal/retry"
	"github.com/plantainmux/plantainmux/internal/suspect"
	"github.com/plantainmux/plantainmux/internal/view"
)

// Bounds of the retries of one daemon.
const (
	retryShare = 0.2 // of the successes
	retryBurst = 50  // retries that may be made at once
)

// Dependencies are what a relay works with.
type Dependencies struct {
	Views    *view.Store
	Engine   endpoint.Engine
	Suspects *suspect.Watch
	Metrics  *metric.Set
	Remote   Remote // nil when there is no other data centre
	Observer Observer
	// Failed is told of each member that broke a request.
	Failed func(vm fleet.VMID, at time.Time)
}

// Relay runs requests.
type Relay struct {
	Dependencies
	budget    *retry.Budget
	canceller *canceller
	copies    *copies
	recalls   *recalls
}

// New returns a relay.
func New(dependencies Dependencies) *Relay {
	recalls := newRecalls()
	dependencies.Suspects.OnCrash(recalls.make)
	return &Relay{
		Dependencies: dependencies,
		budget:       retry.NewBudget(retryShare, retryBurst),
		canceller:    newCanceller(dependencies.Engine, dependencies.Metrics),
		copies:       newCopies(),
		recalls:      recalls,
	}
}

// Run runs a request and passes its answer to sink. A nil result means that
// sink received the whole answer. The caller holds slot, also afterwards.
func (r *Relay) Run(ctx context.Context, req *request.Request, sink Sink, slot Slot) *refusal.Refusal {
	return r.newRun(req, sink, slot).observed(ctx)
}

// RunElsewhere runs a request in another data centre, since the own one refused
// it. When no other takes it, the result is that refusal.
func (r *Relay) RunElsewhere(ctx context.Context, req *request.Request, sink Sink, refused *refusal.Refusal) *refusal.Refusal {
	run := r.newRun(req, sink, noSlot{})
	run.onlyElsewhere = true
	if outcome := run.observed(ctx); outcome == nil || outcome.Outcome != refusal.NotRun {
		return outcome
	}
	return refused
}

func (r *Relay) newRun(req *request.Request, sink Sink, slot Slot) *run {
	model, _ := r.Views.Load().Model(req.Model)
	return &run{
		Relay:         r,
		req:           req,
		sink:          sink,
		slot:          slot,
		deterministic: model.Deterministic,
		excluded:      map[fleet.FencingNumber]bool{},
		elsewhere:     map[fleet.DataCentre]bool{},
	}
}
