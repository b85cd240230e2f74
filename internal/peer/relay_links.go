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
	// relayRetireDelayHeartbeats is how long this daemon must have ceased to be
	// a relay before it retires its link, so that a flapping daemon does not
	// cause links to move.
	relayRetireDelayHeartbeats = 5
)

// relayLoop maintains a link to another data centre while this daemon is one of
// the relays of its data centre. The data centre whose name sorts first dials.
func (n *Network) relayLoop(ctx context.Context, to fleet.DataCentre, addresses []string) {
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
// tries them. Relays of different ranks start at different addresses.
func dialOrder(to, from fleet.DataCentre, addresses []string, rank int) []string {
	order := rendezvous.Choose(pairKey(from, to), addresses, len(addresses))
	start := rank % len(order)
	return slices.Concat(order[start:], order[:start])
}

// pairKey returns the rendezvous hashing key of a pair of data centres.
func pairKey(a, b fleet.DataCentre) string {
	return "relay " + string(min(a, b)) + " " + string(max(a, b))
}

// relayRank returns the index of this daemon among the relays of its data
// centre, or -1 if it is not a relay. The channel is closed at the next routing
// change.
func (n *Network) relayRank(to fleet.DataCentre) (int, <-chan struct{}) {
	n.mu.Lock()
	changed := n.changed
	n.mu.Unlock()
	relays := rendezvous.Choose(pairKey(n.options.DataCentre, to), n.Live(), relaysPerPair)
	return slices.Index(relays, n.options.Self), changed
}

// retireWhenReplaced retires the link once this daemon has not been a relay for
// the retire delay. Streams in progress on the link finish first.
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
		wait.For(ctx, relayRetireDelayHeartbeats*n.options.Heartbeat)
		if rank, _ := n.relayRank(to); rank < 0 {
			n.retireRelayLinks(to)
			cancel()
			return
		}
	}
}

// retireRelayLinks closes the links to a data centre that this daemon dialled,
// once they are idle.
func (n *Network) retireRelayLinks(to fleet.DataCentre) {
	for _, l := range n.routing.Load().directLinks(to) {
		if !l.dialled {
			continue
		}
		l.retiring.Store(true)
		n.mu.Lock()
		n.updateRouting()
		n.mu.Unlock()
		l.retire(&ClosedError{Reason: "no longer a relay"})
	}
}
