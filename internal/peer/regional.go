package peer

import (
	"context"
	"math/rand/v2"
	"slices"

	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/rendezvous"
	"github.com/plantainmux/plantainmux/internal/wait"
)

const (
	relaysPerPair = 2 // links between two data centres
	// settleHeartbeats is how long a change of the relays must last before a link
	// is given up, so that a daemon that flaps does not move the links.
	settleHeartbeats = 5
)

// regionalLoop keeps the links to another data centre while this daemon is one
// of the relays of its own. The data centre with the lower name dials.
func (n *Network) regionalLoop(ctx context.Context, to fleet.DataCentre, addresses []string) {
	failures := 0
	for ctx.Err() == nil {
		rank, changed := n.relayRank(to)
		if rank < 0 {
			select {
			case <-changed:
			case <-ctx.Done():
			}
			continue
		}
		order := dialOrder(to, n.options.DataCentre, addresses, rank)
		address := Address{HostPort: order[failures%len(order)], DataCentre: to}
		linked, cancel := context.WithCancel(ctx)
		go n.retireWhenReplaced(linked, cancel, to)
		_, result, err := n.dialOnce(linked, address)
		cancel()
		failures++
		if err == nil && result == verdictAccepted {
			failures = 0
		}
		wait.For(ctx, backoff(failures, rand.Float64()))
	}
}

// dialOrder returns the addresses in the order in which the relay of a rank
// tries them. The relays begin with different ones.
func dialOrder(to, from fleet.DataCentre, addresses []string, rank int) []string {
	order := rendezvous.Choose(pairKey(from, to), addresses, len(addresses))
	start := rank % len(order)
	return slices.Concat(order[start:], order[:start])
}

// pairKey names a pair of data centres.
func pairKey(a, b fleet.DataCentre) string {
	return "relay " + string(min(a, b)) + " " + string(max(a, b))
}

// relayRank returns the place of this daemon among the relays of its data
// centre, -1 if it is none, and a channel that is closed at the next change.
func (n *Network) relayRank(to fleet.DataCentre) (int, <-chan struct{}) {
	n.mu.Lock()
	changed := n.changed
	n.mu.Unlock()
	relays := rendezvous.Choose(pairKey(n.options.DataCentre, to), n.Live(), relaysPerPair)
	return slices.Index(relays, n.options.Self), changed
}

// retireWhenReplaced gives a link up once this daemon has not been a relay for
// some time. Streams in progress on it end first.
func (n *Network) retireWhenReplaced(ctx context.Context, cancel context.CancelFunc, to fleet.DataCentre) {
	for ctx.Err() == nil {
		rank, changed := n.relayRank(to)
		if rank >= 0 {
			select {
			case <-changed:
			case <-ctx.Done():
			}
			continue
		}
		wait.For(ctx, settleHeartbeats*n.options.Heartbeat)
		if rank, _ := n.relayRank(to); rank < 0 {
			n.retireRegional(to)
			cancel()
			return
		}
	}
}

// retireRegional ends the own links to a data centre when they are idle.
func (n *Network) retireRegional(to fleet.DataCentre) {
	for _, l := range n.routing.Load().direct(to) {
		if !l.dialled {
			continue
		}
		l.retiring.Store(true)
		n.mu.Lock()
		n.refresh()
		n.mu.Unlock()
		l.retire(&ClosedError{Reason: "no longer a relay"})
	}
}
