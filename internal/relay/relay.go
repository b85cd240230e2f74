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

// Dependencies are what a relay works with.
type Dependencies struct {
	Views    *view.Store
	Engine   endpoint.Engine
	Suspects *suspect.Watch
	Metrics  *metric.Set
	// Failed is told of each member that broke a request.
	Failed func(vm fleet.VMID, at time.Time)
}

// Relay runs requests.
type Relay struct {
	Dependencies
	budget    *retry.Budget
	canceller *canceller
}

// New returns a relay.
func New(dependencies Dependencies) *Relay {
	return &Relay{
		Dependencies: dependencies,
		budget:       retry.NewBudget(),
		canceller:    newCanceller(dependencies.Engine, dependencies.Metrics),
	}
}

// Run runs a request and passes its answer to sink. A nil result means that
// sink received the whole answer.
func (r *Relay) Run(ctx context.Context, req *request.Request, sink Sink) *refusal.Refusal {
	model, _ := r.Views.Load().Model(req.Model)
	run := &run{
		Relay:         r,
		req:           req,
		sink:          sink,
		deterministic: model.Deterministic,
		excluded:      map[fleet.FencingNumber]bool{},
	}
	return run.untilWhole(ctx)
}
