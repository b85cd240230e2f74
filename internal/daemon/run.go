package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/plantainmux/plantainmux/internal/settings"
)

// headerTimeout is how long a client may take to send the header of a request.
const headerTimeout = 10 * time.Second

// CallerAddress returns the address of the callers' listener.
func (d *Daemon) CallerAddress() string { return d.callerListener.Addr().String() }

// AdminAddress returns the address of the operators' listener.
func (d *Daemon) AdminAddress() string { return d.adminListener.Addr().String() }

// PeerAddress returns the address of the listener for other daemons.
func (d *Daemon) PeerAddress() string { return d.peerListener.Addr().String() }

func (d *Daemon) listen() error {
	var err error
	if d.callerListener, err = net.Listen("tcp", d.settings.Listen.Caller); err != nil {
		return &ListenError{Name: "caller", Err: err}
	}
	if d.adminListener, err = net.Listen("tcp", d.settings.Listen.Admin); err != nil {
		return &ListenError{Name: "admin", Err: err}
	}
	if d.peerListener = d.adapters.PeerListener; d.peerListener != nil {
		return nil
	}
	if d.peerListener, err = net.Listen("tcp", d.settings.Listen.Peer); err != nil {
		return &ListenError{Name: "peer", Err: err}
	}
	return nil
}

// Run runs the daemon until ctx ends, then stops it gracefully.
func (d *Daemon) Run(ctx context.Context) {
	background, cancel := context.WithCancel(d.killed)
	d.startControl(background)
	peers := d.serve(d.peerListener, d.mesh.Handler())
	d.tasks.Go(d.mesh.Run)
	callers := d.serve(d.callerListener, d.caller.Handler())
	admins := d.serve(d.adminListener, d.admin.Handler())
	d.logger.Info("daemon started", "caller", d.CallerAddress(), "admin", d.AdminAddress(), "peer", d.PeerAddress())
	select {
	case <-ctx.Done():
		d.stop(callers, admins)
	case <-d.killed.Done():
		_ = callers.Close()
		_ = admins.Close()
	}
	_ = peers.Close()
	d.mesh.Close()
	cancel()
	d.tasks.Wait()
	d.kill()
	d.orders.slots.Wait()
	d.pool.StopAndWait()
	d.logger.Info("daemon stopped")
}

// Kill ends the daemon at once, without a graceful stop. Requests in progress
// are cut off.
func (d *Daemon) Kill() { d.kill() }

func (d *Daemon) startControl(ctx context.Context) {
	d.tasks.Go(func() { d.config.Run(ctx) })
	d.tasks.Go(func() { d.spread.Run(ctx) })
	d.tasks.Go(func() { d.groups.Run(ctx) })
	d.startOrders(ctx)
	d.tasks.Go(func() { d.vms.Run(ctx) })
	d.tasks.Go(func() { d.poller.Run(ctx) })
	d.tasks.Go(func() { d.loop.Run(ctx) })
	d.tasks.Go(func() { d.gate.Run(ctx) })
	d.tasks.Go(func() { d.digests.Run(ctx) })
}

func (d *Daemon) serve(listener net.Listener, handler http.Handler) *http.Server {
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		BaseContext:       func(net.Listener) context.Context { return d.killed },
	}
	d.tasks.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			d.logger.Error("listener failed", "address", listener.Addr().String(), "error", err)
		}
	})
	return server
}

// stop ends the daemon without cutting off a request: readiness fails first,
// the balancer gets its time to notice, then new work ends and the requests in
// progress finish, however long their own deadlines allow.
func (d *Daemon) stop(callers, admins *http.Server) {
	d.draining.Store(true)
	d.logger.Info("daemon draining")
	time.Sleep(settings.Millis(d.settings.Timing.DrainNoticeMS))
	d.caller.Drain()
	d.mesh.Leave()
	_ = callers.Shutdown(context.Background())
	d.spill.Drain()
	d.mesh.Drain(d.killed)
	d.drainOrders()
	d.finishEvidence()
	_ = admins.Shutdown(context.Background())
}
