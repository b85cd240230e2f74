// Package relay runs a request on groups until an attempt has delivered a complete
// answer.
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

// Retry budget of one daemon.
const (
	retryShare = 0.2 // retries allowed per success
	retryBurst = 50  // retries that can be made at once
)

// Dependencies are the collaborators of a Relay.
type Dependencies struct {
	Views    *view.Store
	Engine   endpoint.Engine
	Suspects *suspect.Watch
	Metrics  *metric.Set
	Remote   Remote // nil if there is no other data centre
	Observer Observer
	// Failed is called with the leader of each group that failed an attempt.
	Failed func(vm fleet.VMID, at time.Time)
}

// Relay runs requests.
type Relay struct {
	Dependencies
	budget     *retry.Budget
	canceller  *canceller
	duplicates *duplicates
	recalls    *recalls
}

// New returns a Relay.
func New(dependencies Dependencies) *Relay {
	recalls := newRecalls()
	dependencies.Suspects.OnCrash(recalls.trigger)
	return &Relay{
		Dependencies: dependencies,
		budget:       retry.NewBudget(retryShare, retryBurst),
		canceller:    newCanceller(dependencies.Engine, dependencies.Metrics),
		duplicates:   newDuplicates(),
		recalls:      recalls,
	}
}

// Run runs a request and sends its answer to sink. It returns nil if sink received
// the complete answer. The caller owns slot and still holds it when Run returns.
func (r *Relay) Run(ctx context.Context, req *request.Request, sink Sink, slot Slot) *refusal.Refusal {
	return r.newRun(req, sink, slot).runObserved(ctx)
}

// RunElsewhere runs a request that the local data centre refused in another data
// centre. If no other data centre runs it, it returns the local refusal.
func (r *Relay) RunElsewhere(ctx context.Context, req *request.Request, sink Sink, refused *refusal.Refusal) *refusal.Refusal {
	run := r.newRun(req, sink, noSlot{})
	run.remoteOnly = true
	if outcome := run.runObserved(ctx); outcome == nil || outcome.Outcome != refusal.NotRun {
		return outcome
	}
	return refused
}

func (r *Relay) newRun(req *request.Request, sink Sink, slot Slot) *run {
	model, _ := r.Views.Load().Model(req.Model)
	return &run{
		Relay:            r,
		req:              req,
		sink:             sink,
		slot:             slot,
		deterministic:    model.Deterministic,
		excluded:         map[fleet.FencingNumber]bool{},
		triedDataCentres: map[fleet.DataCentre]bool{},
	}
}
