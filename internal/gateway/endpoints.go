package gateway

import (
	"net"
	"net/http"
	"time"

	"github.com/plantainmux/plantainmux/internal/delivery"
	"github.com/plantainmux/plantainmux/internal/exchange"
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/forward"
	"github.com/plantainmux/plantainmux/internal/locality"
	"github.com/plantainmux/plantainmux/internal/monotonic"
	"github.com/plantainmux/plantainmux/internal/outbound"
	"github.com/plantainmux/plantainmux/internal/peer"
	"github.com/plantainmux/plantainmux/internal/placement"
)

const (
	// meshDataCentre is the data centre of all daemons in the mesh: each is linked directly with
	// those that forward for it, wherever they are.
	meshDataCentre = fleet.DataCentre("all")
	// linkHeartbeat is the interval of heartbeats on a link. One that is silent for three of them is
	// lost, before callers leave a silent stream.
	linkHeartbeat      = 400 * time.Millisecond
	forwardersInterval = time.Second // between choices of the daemons to forward through, while the links are sound
)

// buildEndpoints builds what carries out exchanges with endpoints.
func (g *Gateway) buildEndpoints() error {
	mesh, err := peer.NewNetwork(peer.Options{
		Self: fleet.DaemonID(g.settings.Node), DataCentre: meshDataCentre, Heartbeat: linkHeartbeat, Logger: g.logger,
		Dial: g.adapters.Delivery.Dial(delivery.Daemons, (&net.Dialer{}).DialContext), Delivery: g.adapters.Delivery,
	})
	if err != nil {
		return err
	}
	g.mesh = mesh
	g.paths = forward.NewLinkPool(&meshLinks{gateway: g}, g.forwarders, monotonic.Clock())
	g.endpoints = forward.NewRouter(forward.Dependencies{
		Direct:    g.adapters.Endpoints,
		Forwarded: forward.NewClient(mesh),
		Paths:     g.paths,
		Probed:    g.servingEndpoints,
		ProbePath: g.adapters.ProbePath,
		Vouch:     g.reachedByOthers,
		OnLost:    g.linksLost,
		OnBack:    func() {},
		Count:     g.count,
		Logger:    g.logger,
	})
	forward.NewServer(mesh, forward.ServerDependencies{Direct: g.adapters.Endpoints, Admit: g.admitForwarded, Count: g.count, Logger: g.logger})
	return nil
}

// count increments a counter.
func (g *Gateway) count(metric string) { g.metrics.GetOrCreateCounter(metric).Inc() }

// servingEndpoints returns the endpoints of all targets.
func (g *Gateway) servingEndpoints() []outbound.Endpoint {
	var endpoints []outbound.Endpoint
	g.view.Load().Each(func(target *placement.Target) { endpoints = append(endpoints, exchange.EndpointOf(target)) })
	return endpoints
}

// reachedByOthers reports whether another daemon has told of an event of a target later than a
// time. It implements reach.Vouch.
func (g *Gateway) reachedByOthers(target string, since time.Time) bool {
	meter := g.meters.Find(target)
	return meter != nil && meter.RemoteEventSince(since.Add(eventTimeTolerance))
}

// linksLost drops what this daemon holds against targets: its links failed, not they.
func (g *Gateway) linksLost() {
	g.meters.Each(func(_ string, meter meter) { meter.ForgetFailures() })
	g.suspicions.clear()
	g.paths.Prepare()
}

// forwarders returns the daemons through which this one forwards while it is cut off.
func (g *Gateway) forwarders(allowed *locality.Allowed) []string {
	return g.forwardersNow.Load().through(allowed, g.settings.Regions, g.settings.Node, g.settings.DataCentre)
}

// updateForwarders chooses these daemons.
func (g *Gateway) updateForwarders(now time.Time) {
	if !g.endpoints.Lost() && len(g.forwardersNow.Load().chosen) > 0 && now.Sub(g.forwardersAt) < forwardersInterval {
		return
	}
	g.forwardersAt = now
	peers, cutOffHere := g.gossip.Forwarders(now)
	candidates := make([]forward.Candidate, 0, len(peers))
	addresses := make(map[string]string, len(peers))
	for _, p := range peers {
		candidates = append(candidates, forward.Candidate{Daemon: p.Node, DataCentre: p.DataCentre})
		addresses[p.Node] = p.Address
	}
	g.addressOf.Store(&addresses)
	chosen := forward.Choose(g.settings.Node, g.settings.DataCentre, candidates, cutOffHere)
	g.forwardersNow.Store(&forwarders{chosen: chosen, candidates: candidates, cutOffHere: cutOffHere})
}

// dutyDaemons returns the live daemons that duties towards endpoints are divided among: those
// that reach them, or all if none does.
func (g *Gateway) dutyDaemons(now time.Time) []string {
	if connected := g.gossip.Connected(now, g.endpoints.Lost()); len(connected) > 0 {
		return connected
	}
	return g.gossip.Live(now)
}

// admitForwarded decides on an exchange that another daemon forwards. What endpoints announced to
// this daemon holds for it, as it is the one that sends it.
func (g *Gateway) admitForwarded(from fleet.DaemonID, wanted outbound.Exchange) (endpoint outbound.Endpoint, done func(), refused *outbound.NotSentError) {
	now := time.Now()
	entry, known := g.gossip.DataCentreOf(string(from))
	switch {
	case g.stoppingFor(now) > admissionPeriod:
		return endpoint, nil, forward.Decline(forward.DeclinedStopping)
	case g.endpoints.Lost():
		return endpoint, nil, forward.Decline(forward.DeclinedCutOff)
	case !known:
		return endpoint, nil, forward.Decline(forward.DeclinedStranger)
	case !g.settings.Regions.AllowsForwarder(wanted.Allowed, entry, g.settings.DataCentre):
		return endpoint, nil, forward.Decline(forward.DeclinedRegion)
	}
	view := g.view.Load()
	target := view.Find(wanted.Endpoint.Key)
	switch {
	case target == nil && view.Evacuated != nil && view.Evacuated.Find(wanted.Endpoint.Key) != nil:
		return endpoint, nil, forward.Decline(forward.DeclinedEvacuated)
	case target == nil:
		return endpoint, nil, forward.Decline(forward.DeclinedUnknown)
	case !g.settings.Regions.AllowsTarget(wanted.Allowed, target.DataCentre):
		return endpoint, nil, forward.Decline(forward.DeclinedEndpointRegion)
	case target.Hold.Remaining(now) > 0 || !target.Limit.Take(now):
		return endpoint, nil, forward.Decline(forward.DeclinedHeld)
	}
	return exchange.EndpointOf(target), g.Begin(), nil
}

// startMesh runs the mesh from its first use on: a daemon that neither forwards nor is forwarded
// to has no links to keep.
func (g *Gateway) startMesh() { g.meshStart.Do(func() { g.tasks.Go(g.mesh.Run) }) }

// acceptLink accepts a link of another daemon.
func (g *Gateway) acceptLink(w http.ResponseWriter, r *http.Request) {
	g.startMesh()
	g.mesh.Handler().ServeHTTP(w, r)
}
