package daemon

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"math"
	"net"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/plantainmux/plantainmux/internal/callerconn"
	"github.com/plantainmux/plantainmux/internal/traffic"
	"github.com/plantainmux/plantainmux/internal/wait"
)

// Timeouts of connections. They do not limit a request in progress.
const (
	headerTimeout = 10 * time.Second // to receive the header of a request
	idleTimeout   = 2 * time.Minute  // between two requests; longer than the keep-alive time of common load balancers
	expiryPeriod  = time.Second      // between two looks at the timeouts of callers' connections

	otherHeadBytes     = 16 << 10         // largest head of a request that does not come from a caller
	otherConnections   = 1024             // without those that have become links to peers
	writePatience      = 5 * time.Second  // of a write to a caller, as of an event
	otherWritePatience = 30 * time.Second // of a write to a peer or an operator: profiles take that long
)

// CallerAddress returns the address of the listener for callers.
func (d *Daemon) CallerAddress() string { return d.callerListener.Addr().String() }

// AdminAddress returns the address of the listener for operators.
func (d *Daemon) AdminAddress() string { return d.adminListener.Addr().String() }

// PeerAddress returns the address of the listener for other daemons.
func (d *Daemon) PeerAddress() string { return d.peerListener.Addr().String() }

func (d *Daemon) listen() error {
	connections := callerconn.Limit(0, d.memory)
	callers, err := callerconn.Listen(d.settings.Listen.Caller, callerconn.SocketBytes(d.memory, connections))
	if err != nil {
		return &ListenError{Name: "caller", Err: merry.Wrap(err)}
	}
	d.callerListener = callerconn.Wrap(callers, connections, d.logger)
	d.callerListener.LimitWrites(writePatience)
	d.callerListener.LimitHeads(callerconn.HeadLimits{Bytes: func() int { return d.settings.Limits.HeadBytes }, Account: d.held, Refusal: refusedHead})
	d.callerListener.Register("", d.metrics.Gauge)
	if d.adminListener, err = net.Listen("tcp", d.settings.Listen.Admin); err != nil {
		return &ListenError{Name: "admin", Err: merry.Wrap(err)}
	}
	if d.peerListener = d.adapters.PeerListener; d.peerListener != nil {
		return nil
	}
	if d.peerListener, err = net.Listen("tcp", d.settings.Listen.Peer); err != nil {
		return &ListenError{Name: "peer", Err: merry.Wrap(err)}
	}
	d.peerListener = traffic.WrapListener(d.peerListener, &d.adapters.Traffic.Peers)
	return nil
}

// Run runs the daemon until ctx ends, and then stops it gracefully.
func (d *Daemon) Run(ctx context.Context) {
	background, cancel := context.WithCancel(d.killed)
	d.startControl(background)
	peers := d.serve("peers", d.peerListener, d.tls.peer, d.mesh.Handler())
	d.tasks.Go(d.mesh.Run)
	callers := d.serveCallers()
	context.AfterFunc(d.killed, func() { _ = callers.Close() })
	d.tasks.Go(func() { d.expireConnections(background) })
	admins := d.serve("operators", d.adminListener, d.tls.admin, d.admin.Handler())
	d.logger.Info("daemon started", "caller", d.CallerAddress(), "admin", d.AdminAddress(), "peer", d.PeerAddress())
	select {
	case <-ctx.Done():
		d.stop(admins)
	case <-d.killed.Done():
	}
	_ = callers.Close()
	_ = admins.Close()
	_ = peers.Close()
	d.mesh.Close()
	cancel()
	d.tasks.Wait()
	d.kill()
	d.orders.slots.Wait()
	d.pool.StopAndWait()
	d.logger.Info("daemon stopped")
}

// Kill stops the daemon at once. Requests in progress are cut off.
func (d *Daemon) Kill() { d.kill() }

func (d *Daemon) startControl(ctx context.Context) {
	d.tasks.Go(func() { d.config.Run(ctx) })
	d.tasks.Go(func() { d.distributor.Run(ctx) })
	d.tasks.Go(func() { d.groups.Run(ctx) })
	d.tasks.Go(func() { d.announceLogReachability(ctx) })
	d.tasks.Go(func() { d.sync.Run(ctx) })
	d.startOrders(ctx)
	d.tasks.Go(func() { d.vms.Run(ctx) })
	d.tasks.Go(func() { d.poller.Run(ctx) })
	d.tasks.Go(func() { d.reviewEndpoints(ctx) })
	d.tasks.Go(func() { d.withdrawUndelivered(ctx) })
	d.tasks.Go(func() { d.loop.Run(ctx) })
	d.tasks.Go(func() { d.gate.Run(ctx) })
	d.tasks.Go(func() { d.digests.Run(ctx) })
}

func (d *Daemon) serveCallers() *http.Server {
	d.inFlight = newInFlight(d.callerListener.Handler(d.caller.Handler(), http.HandlerFunc(d.caller.RefuseConnection)))
	server := d.newServer(d.inFlight)
	server.ReadHeaderTimeout, server.IdleTimeout = 0, 0 // expireConnections applies them
	d.callerListener.Attach(server)
	d.start(server, d.callerListener.Secured(d.tls.caller))
	return server
}

// serve starts the server of an address that is not for callers.
func (d *Daemon) serve(name string, raw net.Listener, config *tls.Config, handler http.Handler) *http.Server {
	listener := callerconn.Wrap(raw, otherConnections, d.logger)
	listener.Register(fmt.Sprintf("address=%q", name), d.metrics.Gauge)
	listener.LimitWrites(otherWritePatience)
	if config == nil { // what arrives over TLS cannot be read here: the server limits it
		listener.LimitHeads(callerconn.HeadLimits{Bytes: func() int { return otherHeadBytes }, Account: d.held, Refusal: refusedHead})
	}
	refuse := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }
	server := d.newServer(listener.Handler(handler, http.HandlerFunc(refuse)))
	server.MaxHeaderBytes = otherHeadBytes
	listener.Attach(server)
	d.start(server, withTLS(listener, config))
	return server
}

func (d *Daemon) newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		MaxHeaderBytes:    math.MaxInt32, // the listener limits those of callers
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		BaseContext:       func(net.Listener) context.Context { return d.killed },

		DisableGeneralOptionsHandler: true, // which answers "OPTIONS *" with a success without an outcome header
	}
}

func (d *Daemon) start(server *http.Server, listener net.Listener) {
	d.tasks.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			d.logger.Error("listener failed", "address", listener.Addr().String(), "error", err)
		}
	})
}

func withTLS(listener net.Listener, config *tls.Config) net.Listener {
	if config == nil {
		return listener
	}
	return tls.NewListener(listener, config)
}

// expireConnections closes the connections of callers that have exceeded a timeout, until ctx ends.
func (d *Daemon) expireConnections(ctx context.Context) {
	for wait.For(ctx, expiryPeriod) {
		d.callerListener.CloseExpired(time.Now(), callerconn.Timeouts{Header: headerTimeout, Idle: idleTimeout})
	}
}
