package gateway

import (
	"context"
	"io"
	"time"

	"github.com/plantainmux/plantainmux/internal/exchange"
	"github.com/plantainmux/plantainmux/internal/grace"
	"github.com/plantainmux/plantainmux/internal/requestpath"
)

const (
	headerTimeout         = 10 * time.Second        // to receive the header of a request, unless the configuration gives one
	idleTimeout           = 60 * time.Second        // between requests on a connection, likewise
	readinessNoticePeriod = 2600 * time.Millisecond // for the load balancer to notice that this daemon is not ready
	// admissionPeriod is how long requests are still admitted after the stop signal.
	// Requests admitted until then can finish within Bounds.GraceS.
	admissionPeriod    = 2900 * time.Millisecond
	retryAfterStopping = 50 * time.Millisecond // Retry-After, as another daemon answers
	// retryAfterConnections is Retry-After where all connections are in use, and the jitter added: another
	// daemon may have some.
	retryAfterConnections = 200 * time.Millisecond
	retryAfterStarting    = 500 * time.Millisecond // Retry-After while the daemon is starting
	defaultBodyLimit      = 4 << 20                // bytes
	defaultHeadBytes      = 64 << 10               // unless the configuration gives a limit
	startupCatchUp        = 5 * time.Second        // after the start, for the operators to write a lost configuration again
	// firstNewsPatience is how long a daemon waits for the first message of another one: the others
	// read the registrations every 0.4 s, and then send within some 0.1 s.
	firstNewsPatience = time.Second
)

// Begin counts a request as in progress until the returned function is called.
func (g *Gateway) Begin() func() {
	g.inFlight.Add(1)
	return func() { g.inFlight.Add(-1) }
}

// Admit finds the route, the service and the team of a request. One of the results
// is nil.
func (g *Gateway) Admit(in Incoming) (*Admitted, *Denied) {
	current := g.catalogs.Load()
	if current == nil || g.startsBehind(in.Arrived) {
		return nil, g.deny(in, NoConfiguration, retryAfterStarting)
	}
	if g.stoppingFor(in.Arrived) > admissionPeriod {
		return nil, g.deny(in, DaemonStopping, retryAfterStopping)
	}
	path, bad := requestpath.Parse(in.Target)
	if bad != nil {
		return nil, g.deny(in, DenyReason(bad.Cause), 0)
	}
	route := current.Route(in.Host, path)
	if current.Ambiguous(in.Host, path, route) {
		return nil, g.deny(in, AmbiguousPath, 0)
	}
	if route == nil {
		return nil, g.deny(in, NoRoute, 0)
	}
	team, allowed := current.Authorize(route, in.APIKey)
	if !allowed {
		return nil, g.deny(in, NoKey, 0)
	}
	service := current.Services[route.Pick(random())]
	if service == nil {
		return nil, g.deny(in, NoService, retryAfterStarting)
	}
	if !g.requested.Load() {
		g.requested.Store(true)
	}
	if service.Grouped() {
		g.trafficSeen.Store(true)
	}
	limit := current.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyLimit
	}
	return &Admitted{BodyLimit: limit, incoming: in, route: route, service: service, team: team}, nil
}

// Begins reports whether a request that has been read whole is still passed on, or its denial.
func (g *Gateway) Begins(admitted *Admitted) *Denied {
	now := time.Now()
	stopping := g.stoppingFor(now)
	state := grace.State{Stopping: stopping, Admission: admissionPeriod, Left: g.servingPeriod() - stopping, Remaining: admitted.Deadline().Sub(now)}
	if grace.Begins(state) {
		return nil
	}
	return g.deny(admitted.incoming, DaemonStopping, retryAfterStopping)
}

// servingPeriod returns how long requests may run after the stop signal.
func (g *Gateway) servingPeriod() time.Duration { return g.settings.Bounds.grace() - stopMargin }

// DenyConnection returns the denial of a request on a connection beyond the limit.
func (g *Gateway) DenyConnection(in Incoming) *Denied {
	return g.deny(in, Connections, retryAfterConnections+time.Duration(random()*float64(retryAfterConnections)))
}

// Exchange forwards a request and writes the answer to sink.
func (g *Gateway) Exchange(ctx context.Context, req *exchange.Request, sink exchange.Sink) *exchange.Failure {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer context.AfterFunc(g.exchanges, func() { cancel(context.Cause(g.exchanges)) })()
	return g.exchanger.Run(ctx, req, sink)
}

func (g *Gateway) deny(in Incoming, reason DenyReason, retryAfter time.Duration) *Denied {
	version := int64(0)
	if current := g.catalogs.Load(); current != nil {
		version = current.Version
	}
	path, _ := requestpath.Parse(in.Target)
	g.logger.Info("request denied", "request", in.ID, "reason", reason, "host", in.Host, "path", path, "version", version,
		"version_age_ms", g.configs.Age(time.Now()).Milliseconds())
	g.metrics.GetOrCreateCounter(`plantainmux_gateway_denied_total{reason="` + string(reason) + `"}`).Inc()
	return &Denied{Reason: reason, RetryAfter: retryAfter}
}

// Ready reports whether the load balancer may send new connections.
func (g *Gateway) Ready() bool {
	return !g.stopping.Load() && g.synced() && !g.startsBehind(time.Now()) && !g.connectionsFull() && !g.takesNone()
}

// startsBehind reports whether this daemon has just started and the store has not given it a
// configuration that another daemon has told of. The store may have come back from an older copy,
// in which keys and routes are still there that have been withdrawn.
func (g *Gateway) startsBehind(now time.Time) bool {
	if now.Sub(g.started) > startupCatchUp {
		return false
	}
	current := g.catalogs.Load()
	if current == nil {
		return false
	}
	newer := g.newestConfig.Load()
	restored := g.configRestored.Load()
	if newer == nil {
		return restored && now.Sub(g.started) < firstNewsPatience
	}
	return current.Version < newer.version && (restored || g.configReadAt.Load() > newer.heardAt.UnixNano())
}

// Stopping reports whether the gateway is shutting down.
func (g *Gateway) Stopping() bool { return g.stopping.Load() }

// stoppingFor returns the time since the gateway began to stop, or zero.
func (g *Gateway) stoppingFor(now time.Time) time.Duration {
	startedAt := g.stopStartedAt.Load()
	if startedAt == 0 {
		return 0
	}
	return now.Sub(time.Unix(0, startedAt))
}

func (g *Gateway) writeMetrics(w io.Writer) { g.metrics.WritePrometheus(w) }
