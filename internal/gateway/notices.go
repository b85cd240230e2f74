package gateway

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/plantainmux/plantainmux/internal/gossip"
	"github.com/plantainmux/plantainmux/internal/notice"
)

// applyNotice applies what an endpoint announced in an answer, before the answer is passed on.
func (g *Gateway) applyNotice(n notice.Notice) {
	if n.Leaving && g.registry.MarkLeaving(n.Endpoint, n.Incarnation) {
		g.metrics.GetOrCreateCounter(`plantainmux_endpoint_notices_total{kind="leaving"}`).Inc()
		g.tellPlanner(n.Endpoint)
	}
	if n.RetryAfter != "" {
		g.holdOff(n)
	}
	if n.Limit != "" {
		g.noteLimit(n)
	}
	if n.ColdMS != "" {
		g.noteCold(n)
	}
}

// noteCold limits the requests to an endpoint that is cold.
func (g *Gateway) noteCold(n notice.Notice) {
	endpoint, current := g.registry.Load().ByID[n.Endpoint], g.catalogs.Load()
	if endpoint != nil && current != nil {
		g.cold.observeAnswer(n, current.Services[endpoint.Service], time.Now())
	}
}

// noteLimit bounds the requests to an endpoint by the limit that it named.
func (g *Gateway) noteLimit(n notice.Notice) {
	limit, err := notice.ParseLimit(n.Limit)
	var invalid *notice.InvalidLimitError
	if errors.As(err, &invalid) {
		g.metrics.GetOrCreateCounter(fmt.Sprintf(`plantainmux_endpoint_limits_ignored_total{reason=%q}`, invalid.Reason)).Inc()
		g.logger.Warn("endpoint named an unusable limit", "endpoint", n.Endpoint, "error", err)
		return
	}
	now := time.Now()
	if !g.limits.GetOrCreate(n.Endpoint, n.Incarnation).Observe(limit, now) {
		return
	}
	g.limits.Share(g.dutyDaemons(now), g.settings.Node, now)
	g.metrics.GetOrCreateCounter(`plantainmux_endpoint_notices_total{kind="limit"}`).Inc()
	g.logger.Info("endpoint named a limit", "endpoint", n.Endpoint, "requests_per_s", limit)
}

// tellPlanner has the group of an endpoint probed by the daemon that plans it, which learns from
// the reports who is leaving, even if the endpoint cannot reach the store.
func (g *Gateway) tellPlanner(endpoint string) {
	record := g.ledger.Load().RecordOfMember(endpoint)
	if record == nil {
		return
	}
	g.suspicions.add(gossip.Suspicion{Group: record.Group, Epoch: record.Epoch, Tentative: true}, time.Now())
	g.reconciler.ProbeGroup(context.Background(), record.Group, record.Epoch, "")
}

// holdOff sends an endpoint no request for the time that it named in a rejection.
func (g *Gateway) holdOff(n notice.Notice) {
	hold, err := notice.ParseHold(n.RetryAfter)
	var invalid *notice.InvalidHoldError
	if errors.As(err, &invalid) {
		g.metrics.GetOrCreateCounter(fmt.Sprintf(`plantainmux_endpoint_holds_ignored_total{reason=%q}`, invalid.Reason)).Inc()
		g.logger.Warn("endpoint named an unusable time to hold off", "endpoint", n.Endpoint, "error", err)
		return
	}
	now := time.Now()
	current := g.holds.GetOrCreate(n.Endpoint, n.Incarnation)
	if current.Remaining(now) == 0 {
		g.logger.Info("endpoint wants no requests for a time", "endpoint", n.Endpoint, "hold_ms", hold.Milliseconds())
	}
	current.Extend(now, hold)
	g.metrics.GetOrCreateCounter(`plantainmux_endpoint_notices_total{kind="hold"}`).Inc()
}
