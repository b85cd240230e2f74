package gateway

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"math"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/plantainmux/plantainmux/internal/callerconn"
	"github.com/plantainmux/plantainmux/internal/peer"
	"github.com/plantainmux/plantainmux/internal/peerlog"
)

const (
	otherHeadBytes     = 16 << 10         // largest head of a request that does not come from a caller
	writePatience      = time.Second      // of a write of an answer of this daemon itself to a caller
	otherWritePatience = 10 * time.Second // of a write to another daemon, which may stand still, or to monitoring
)

// listen starts the servers for callers, the load balancer, the other daemons and monitoring.
func (g *Gateway) listen() ([]*http.Server, error) {
	own := http.NewServeMux()
	own.Handle(peerlog.Path, peerlog.Handler(g.mirror))
	own.HandleFunc("GET "+peer.Path, g.acceptLink)
	own.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { g.writeMetrics(w) })
	own.HandleFunc("GET "+StatusPath, g.serveStatus)
	others := map[string]other{
		"readiness": {g.settings.Listen.Readiness, g.adapters.Readiness(g)},
		"peers":     {g.peerAddress(), own},
	}
	if address := g.settings.Listen.Metrics; address != "" && address != g.peerAddress() {
		others["metrics"] = other{address, own}
	}
	callers, err := g.listenForCallers()
	if err != nil {
		return nil, err
	}
	servers := []*http.Server{callers}
	for name, other := range others {
		server, err := g.listenForOthers(name, other)
		if err != nil {
			return nil, err
		}
		servers = append(servers, server)
	}
	return servers, nil
}

// other is an address that is not for callers.
type other struct {
	address string
	handler http.Handler
}

// listenForOthers starts the server of an address that is not for callers, which meets some all the same.
func (g *Gateway) listenForOthers(name string, other other) (*http.Server, error) {
	raw, err := callerconn.Listen(other.address, callerconn.OtherSocketBytes)
	if err != nil {
		return nil, &ListenError{Address: other.address, Err: err}
	}
	listener := callerconn.Wrap(raw, callerconn.OtherLimit(g.settings.Limits.FileDescriptors, g.memory()), g.logger)
	listener.Register(fmt.Sprintf("address=%q", name), func(name string, value func() float64) { g.metrics.NewGauge(name, value) })
	listener.LimitWrites(otherWritePatience)
	listener.LimitHeads(callerconn.HeadLimits{Bytes: func() int { return otherHeadBytes }, Account: g.held, Refusal: refusedHead})
	refuse := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }
	server := g.newServer(listener.Handler(other.handler, http.HandlerFunc(refuse)))
	listener.Attach(server)
	return g.serve(server, listener), nil
}

func (g *Gateway) listenForCallers() (*http.Server, error) {
	address := g.settings.Listen.Callers
	connections := callerconn.Limit(g.settings.Limits.FileDescriptors, g.memory())
	raw, err := callerconn.Listen(address, callerconn.SocketBytes(g.memory(), connections))
	if err != nil {
		return nil, &ListenError{Address: address, Err: err}
	}
	listener := callerconn.Wrap(raw, connections, g.logger)
	listener.Register("", func(name string, value func() float64) { g.metrics.NewGauge(name, value) })
	listener.LimitWrites(writePatience)
	listener.LimitHeads(callerconn.HeadLimits{Bytes: g.headBytes, Account: g.held, Refusal: refusedHead})
	g.callers.Store(listener)
	handler := g.adapters.Callers(g)
	server := g.newServer(listener.Handler(handler, http.HandlerFunc(handler.RefuseConnection)))
	server.ReadHeaderTimeout, server.IdleTimeout = 0, 0 // expireConnections applies those of the configuration
	listener.Attach(server)
	return g.serve(server, listener), nil
}

func (g *Gateway) newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, ErrorLog: slog.NewLogLogger(g.logger.Handler(), slog.LevelDebug),
		MaxHeaderBytes:               math.MaxInt32, // the listener limits heads
		DisableGeneralOptionsHandler: true,          // which answers "OPTIONS *" with a success that no endpoint gave
	}
}

func (g *Gateway) serve(server *http.Server, listener net.Listener) *http.Server {
	g.tasks.Go(func() { _ = server.Serve(listener) }) // returns when the server is closed
	return server
}

// connectionsFull reports whether callers have as many requests in progress as this daemon has
// connections for.
func (g *Gateway) connectionsFull() bool {
	listener := g.callers.Load()
	return listener != nil && listener.Full()
}

// takesNone reports whether connections of callers wait that cannot be accepted.
func (g *Gateway) takesNone() bool {
	listener := g.callers.Load()
	return listener != nil && listener.TakesNone(time.Now())
}

// expireConnections closes the connections of callers that have exceeded the timeouts of the configuration.
func (g *Gateway) expireConnections(now time.Time) {
	timeouts := callerconn.Timeouts{Header: headerTimeout, Idle: idleTimeout}
	if current := g.catalogs.Load(); current != nil {
		timeouts.Header = cmp.Or(current.Limits.HeaderTimeout, timeouts.Header)
		timeouts.Idle = cmp.Or(current.Limits.IdleTimeout, timeouts.Idle)
	}
	if listener := g.callers.Load(); listener != nil {
		listener.CloseExpired(now, timeouts)
	}
}

// headBytes returns the largest head of a caller's request.
func (g *Gateway) headBytes() int {
	if current := g.catalogs.Load(); current != nil && current.Limits.HeaderBytes > 0 {
		return current.Limits.HeaderBytes
	}
	return defaultHeadBytes
}

// refusedHead returns the fields of the answer to a head that is refused.
func refusedHead(status int) http.Header {
	if status != http.StatusServiceUnavailable {
		return nil
	}
	after := retryAfterMemory.Seconds() * (1 + random()) // as DenyMemory
	return http.Header{"Retry-After": {strconv.FormatFloat(after, 'f', 3, 64)}}
}

// CallerLeft reports whether the caller of a request has closed its connection. It is asked once the
// request has been read: it may have waited for longer than its caller.
func (g *Gateway) CallerLeft(ctx context.Context, id string) bool {
	if !callerconn.Left(ctx) {
		return false
	}
	g.callersLeft.Inc()
	g.logger.Info("caller left before its request was read", "request", id)
	return true
}
