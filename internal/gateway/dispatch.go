package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/plantainmux/plantainmux/internal/dispatch"
	"github.com/plantainmux/plantainmux/internal/exchange"
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/monotonic"
	"github.com/plantainmux/plantainmux/internal/placement"
	"github.com/plantainmux/plantainmux/internal/wait"
)

const (
	// dispatchInterval is the time between two looks at what the daemons report: at most this is
	// added to the age of their reports, of 0.1 s.
	dispatchInterval = 20 * time.Millisecond
	reviewRounds     = 5 // of dispatchInterval between two looks at which daemon dispatches
)

// buildDispatch builds the dispatcher and what asks it.
func (g *Gateway) buildDispatch() {
	g.dispatcher = newDispatcher(dispatcherDependencies{
		self: g.settings.Node, dataCentre: g.settings.DataCentre, regions: g.settings.Regions,
		view: g.view.Load, catalog: g.catalogs.Load, reported: g.gossip.Reported, demand: g.modelDemand, daemons: g.liveDaemons, delay: g.gossip.Delay,
		declines: g.declinesDispatch, metrics: g.metrics,
	})
	g.dispatchClient = newDispatchClient(dispatchClientDependencies{
		self: g.settings.Node, call: g.callDispatcher, local: g.dispatcher.answer, known: g.knowsTarget, clock: monotonic.Clock(), metrics: g.metrics, logger: g.logger,
	})
	g.mesh.HandleCall(dispatch.Method, g.answerDispatch)
	g.metrics.NewGauge(`plantainmux_dispatcher`, func() float64 {
		if g.dispatcher.acting.Load() {
			return 1
		}
		return 0
	})
}

// runDispatch keeps track of the dispatcher and, while this daemon is the one, of what the daemons
// report. It does nothing while there is no model for which dispatchers are used.
func (g *Gateway) runDispatch(ctx context.Context) {
	for round := 0; wait.For(ctx, dispatchInterval); round++ {
		now := time.Now()
		if round%reviewRounds == 0 {
			g.reviewDispatcher(now)
		}
		if g.dispatcher.acting.Load() {
			g.dispatcher.review(now)
		}
	}
}

// reviewDispatcher determines the dispatcher, none while there is no use for one.
func (g *Gateway) reviewDispatcher(now time.Time) {
	var name, address string
	var acting bool
	if g.dispatchClient.review() {
		name, address, acting = g.gossip.Dispatcher(now, g.endpoints.Lost())
	}
	g.dispatchClient.follow(name)
	g.linkDispatcher(name, address)
	g.dispatcher.setActing(acting)
}

// linkDispatcher keeps the link to a dispatcher. The link to the previous one remains in the pool,
// since streams that are forwarded may use it.
func (g *Gateway) linkDispatcher(name, address string) {
	if name == g.settings.Node {
		name = ""
	}
	if name != "" {
		g.dispatcherAt.Store(&linkedDispatcher{name: name, address: address})
	}
	g.paths.Keep(name)
}

func (g *Gateway) callDispatcher(ctx context.Context, to string, call dispatch.Call, answer *dispatch.Answer) error {
	return g.mesh.Call(ctx, fleet.DaemonID(to), dispatch.Method, call, answer)
}

// knowsTarget reports whether the view has a target, outside evacuated data centres.
func (g *Gateway) knowsTarget(wanted unknownTarget) bool {
	targets := g.view.Load().Targets(wanted.model.service, wanted.model.model)
	return slices.ContainsFunc(targets, func(target *placement.Target) bool { return target.Key == wanted.key })
}

// declinesDispatch returns why this daemon leaves the choice to the daemons that ask, empty if it
// does not.
func (g *Gateway) declinesDispatch() dispatch.Decline {
	switch {
	case g.stopping.Load():
		return dispatch.Stopping
	case !g.synced():
		return dispatch.NotDispatcher // its view may lack groups
	case g.endpoints.Lost():
		return dispatch.CutOff
	default:
		return ""
	}
}

// dispatch implements exchange.Dependencies.Dispatch.
func (g *Gateway) dispatch(ctx context.Context, req *exchange.Request, excluded func() (keys []string, others bool)) dispatch.Outcome {
	if !g.dispatchClient.applies(req) {
		return dispatch.Outcome{}
	}
	keys, others := excluded()
	if !others {
		return dispatch.Outcome{Asked: true, Local: dispatch.NoneUsable}
	}
	return g.dispatchClient.ask(ctx, dispatch.Call{
		Service: req.Service.Name, Model: req.Model, PromptTokens: req.PromptTokens, OutputTokens: req.OutputTokens, Priority: req.Priority, Team: req.Team,
		Late: req.Late, Excluded: keys, Allowed: req.Allowed, RemainingMS: int(time.Until(req.Deadline).Milliseconds()),
	})
}
