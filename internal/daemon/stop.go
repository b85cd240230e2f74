package daemon

import (
	"context"
	"net/http"
	"time"

	"github.com/plantainmux/plantainmux/internal/awake"
	"github.com/plantainmux/plantainmux/internal/settings"
	"github.com/plantainmux/plantainmux/internal/wait"
)

const (
	stopPollInterval = 20 * time.Millisecond
	// closingTimeout is how long callers may take to send or read the rest of what was refused last.
	closingTimeout = 15 * time.Second
)

// stop shuts the daemon down without cutting off a request. First the readiness
// check fails and each response closes its connection, for the drain notice
// time in which the load balancer can react. Then new requests are refused as
// not run, the leave is announced to the peers, and the requests in progress
// finish, limited only by their own deadlines. The listener stays open until
// then, so that late requests receive a refusal.
func (d *Daemon) stop(admins *http.Server) {
	d.draining.Store(true)
	d.logger.Info("daemon draining")
	d.inFlight.drain()
	pause(d.killed, settings.Millis(d.settings.Timing.DrainNoticeMS))
	d.caller.Drain()
	d.mesh.Leave()
	d.await(d.inFlight.refuse())
	left := d.callerListener.Finish(time.Now().Add(closingTimeout))
	d.logger.Info("daemon closes", "connections_left", left)
	d.spill.Drain()
	d.mesh.Drain(d.killed)
	d.drainOrders()
	d.finishEvidence()
	_ = admins.Shutdown(d.killed)
}

// pause waits until the process has run past a duration, or until ctx ends.
func pause(ctx context.Context, duration time.Duration) {
	end := awake.NewDeadline(time.Now().Add(duration))
	for !end.Passed(time.Now()) && wait.For(ctx, stopPollInterval) {
		continue
	}
}

// await waits until done is closed, or the daemon is killed.
func (d *Daemon) await(done <-chan struct{}) {
	select {
	case <-done:
	case <-d.killed.Done():
	}
}
