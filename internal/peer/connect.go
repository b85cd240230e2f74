package peer

import (
	"context"
	"time"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// Connect maintains a link to the daemon at an address until release is called, in addition to
// those of the options.
func (n *Network) Connect(address Address) (release func()) {
	ctx, cancel := context.WithCancel(n.ctx)
	go n.dialLoop(ctx, address)
	return cancel
}

// AwaitLink waits until there is a link to a daemon, and reports whether there is one within a
// time.
func (n *Network) AwaitLink(ctx context.Context, daemon fleet.DaemonID, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for {
		linked, changed := n.linked(daemon)
		if linked {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// LinkIdle reports whether no call is in progress on the link to a daemon.
func (n *Network) LinkIdle(daemon fleet.DaemonID) bool {
	l, ok := n.routing.Load().localLink(daemon)
	return !ok || l.idle()
}
