package daemon

import (
	"context"
	"time"

	"github.com/plantainmux/plantainmux/internal/endpoint"
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/forward"
	"github.com/plantainmux/plantainmux/internal/locality"
	"github.com/plantainmux/plantainmux/internal/monotonic"
	"github.com/plantainmux/plantainmux/internal/outbound"
)

const (
	reviewInterval = 100 * time.Millisecond // between reviews of whether the links to the endpoints are sound
	sweepRounds    = 10                     // reviews between two sweeps of the links through which this daemon forwards
)

// buildEndpoints builds what carries out exchanges with endpoints.
func (d *Daemon) buildEndpoints() {
	d.paths = forward.NewLinkPool(&meshLinks{daemon: d}, d.forwarders, monotonic.Clock())
	d.endpoints = forward.NewRouter(forward.Dependencies{
		Direct:    d.adapters.Direct,
		Forwarded: forward.NewClient(d.mesh),
		Paths:     d.paths,
		Probed:    d.servingEndpoints,
		ProbePath: endpoint.PathReport,
		Vouch:     d.reachedByOthers,
		OnLost:    d.linksLost,
		OnBack:    func() { d.mesh.SetCutOff(false) },
		Count:     d.metrics.Inc,
		Logger:    d.logger,
	})
	forward.NewServer(d.mesh, forward.ServerDependencies{Direct: d.adapters.Direct, Admit: d.admitForwarded, Count: d.metrics.Inc, Logger: d.logger})
	d.adapters.SendThrough(d.endpoints)
}

// reviewEndpoints reviews the links to the endpoints, and sweeps those through which this daemon
// forwards, until ctx ends.
func (d *Daemon) reviewEndpoints(ctx context.Context) {
	ticker := time.NewTicker(reviewInterval)
	defer ticker.Stop()
	for round := 0; ; round++ {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			d.leaders.observe(d.views.Load(), now)
			d.endpoints.Review(now)
			if round%sweepRounds == 0 {
				d.paths.Sweep()
			}
		}
	}
}

// servingEndpoints returns the leaders of the complete groups and the endpoints of the services.
func (d *Daemon) servingEndpoints() []outbound.Endpoint {
	var endpoints []outbound.Endpoint
	current := d.views.Load()
	for _, group := range current.Groups {
		endpoints = append(endpoints, outbound.Endpoint{Key: group.LeaderAddress, Address: group.LeaderAddress})
	}
	for _, service := range current.Services {
		for _, e := range service.Endpoints {
			endpoints = append(endpoints, outbound.Endpoint{Key: e.Address, Address: e.Address})
		}
	}
	return endpoints
}

// reachedByOthers reports whether another daemon has polled the leader of a group successfully
// since a time. It implements reach.Vouch.
func (d *Daemon) reachedByOthers(address string, since time.Time) bool {
	leader, known := d.leaders[address]
	return known && d.table.SucceededElsewhere(leader.vm, since)
}

// linksLost drops what this daemon holds against endpoints, and tells its peers: its links failed,
// not they.
func (d *Daemon) linksLost() {
	d.mesh.SetCutOff(true)
	d.table.ForgetRequestFailures()
	for _, group := range d.views.Load().Groups {
		group.Load.ForgetFailure()
	}
}

// forwarders returns the daemons through which this one forwards while it is cut off.
func (d *Daemon) forwarders(*locality.Allowed) []string {
	var candidates []forward.Candidate
	for _, other := range d.mesh.EndpointReachers() {
		if other != d.id {
			candidates = append(candidates, forward.Candidate{Daemon: string(other), DataCentre: string(d.settings.DataCentre)})
		}
	}
	return forward.Choose(string(d.id), string(d.settings.DataCentre), candidates, 1)
}

// watchers returns the daemons that poll members: those that reach them, or all if none does.
func (d *Daemon) watchers() []fleet.DaemonID {
	if reachers := d.mesh.EndpointReachers(); len(reachers) > 0 {
		return reachers
	}
	return d.mesh.Live()
}

// admitForwarded decides on an exchange that another daemon forwards.
func (d *Daemon) admitForwarded(_ fleet.DaemonID, wanted outbound.Exchange) (endpoint outbound.Endpoint, done func(), refused *outbound.NotSentError) {
	if d.endpoints.Lost() {
		return endpoint, nil, forward.Decline(forward.DeclinedCutOff)
	}
	for _, serving := range d.servingEndpoints() {
		if serving.Key == wanted.Endpoint.Key {
			return serving, func() {}, nil
		}
	}
	return endpoint, nil, forward.Decline(forward.DeclinedUnknown)
}
