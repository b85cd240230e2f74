package gateway

import (
	"context"
	"io"
	"time"

	"github.com/plantainmux/plantainmux/internal/exchange"
)

const (
	headerTimeout = 10 * time.Second        // to send the header of a request
	idleTimeout   = 60 * time.Second        // between two requests of a connection
	noticeTime    = 2600 * time.Millisecond // for the balancer to notice that this daemon is not ready
	// lastCall is the time after the signal to stop from which on requests are
	// refused: what is taken until then has time to end within the grace.
	lastCall          = 2900 * time.Millisecond
	comeBackElsewhere = 50 * time.Millisecond  // for another daemon
	stopMargin        = 600 * time.Millisecond // before the platform kills the process
	stopLook          = 20 * time.Millisecond
	comeBackSoon      = 500 * time.Millisecond // for a daemon that is still starting
	defaultBodySize   = 4 << 20                // bytes
)

// Begin notes a request, until the returned function is called.
func (g *Gateway) Begin() func() {
	g.inFlight.Add(1)
	return func() { g.inFlight.Add(-1) }
}

// Admit finds the route and the team of a request.
func (g *Gateway) Admit(in Incoming) (*Admitted, *Denied) {
	current := g.catalogs.Load()
	if current == nil {
		return nil, g.denied(in, NoConfiguration, comeBackSoon)
	}
	if g.stoppingFor(in.Arrived) > lastCall {
		return nil, g.denied(in, LeavingSoon, comeBackElsewhere)
	}
	route := current.Route(in.Host, in.Path)
	if route == nil {
		return nil, g.denied(in, NoRoute, 0)
	}
	team, allowed := current.Authorize(route, in.Key)
	if !allowed {
		return nil, g.denied(in, NoKey, 0)
	}
	service := current.Services[route.Pick(random())]
	if service == nil {
		return nil, g.denied(in, NoService, comeBackSoon)
	}
	if service.Grouped() {
		g.traffic.Store(true)
	}
	limit := current.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodySize
	}
	return &Admitted{BodyLimit: limit, incoming: in, route: route, service: service, team: team}, nil
}

// Exchange passes a request on.
func (g *Gateway) Exchange(ctx context.Context, req *exchange.Request, sink exchange.Sink) *exchange.Failure {
	return g.exchanger.Run(ctx, req, sink)
}

func (g *Gateway) denied(in Incoming, reason DenyReason, retryAfter time.Duration) *Denied {
	version := int64(0)
	if current := g.catalogs.Load(); current != nil {
		version = current.Version
	}
	g.logger.Info("request denied", "request", in.ID, "reason", reason, "host", in.Host, "path", in.Path, "version", version,
		"version_age_ms", g.configs.Age(time.Now()).Milliseconds())
	g.metrics.GetOrCreateCounter(`plantainmux_gateway_denied_total{reason="` + string(reason) + `"}`).Inc()
	return &Denied{Reason: reason, RetryAfter: retryAfter}
}

// Ready reports whether new connections are welcome.
func (g *Gateway) Ready() bool { return !g.stopping.Load() && g.booted() }

// Stopping reports whether the gateway is about to end.
func (g *Gateway) Stopping() bool { return g.stopping.Load() }

// stoppingFor returns for how long the gateway has been stopping.
func (g *Gateway) stoppingFor(now time.Time) time.Duration {
	begun := g.stopBegun.Load()
	if begun == 0 {
		return 0
	}
	return now.Sub(time.Unix(0, begun))
}

// stop lets the balancer notice and the requests in progress end, within the
// grace that the platform gives.
func (g *Gateway) stop() {
	begun := time.Now()
	g.stopBegun.Store(begun.UnixNano())
	g.stopping.Store(true)
	g.logger.Info("daemon stopping", "in_flight", g.inFlight.Load())
	latest := begun.Add(g.settings.Bounds.grace() - stopMargin)
	for time.Now().Before(latest) {
		if time.Since(begun) > noticeTime && g.inFlight.Load() == 0 {
			return
		}
		time.Sleep(stopLook)
	}
	g.logger.Warn("daemon ends with requests in progress", "in_flight", g.inFlight.Load())
}

func (g *Gateway) writeMetrics(w io.Writer) { g.metrics.WritePrometheus(w) }
