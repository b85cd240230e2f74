package testbed

import (
	"context"
	"net"
	"sync"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// peerNetwork simulates the network between the daemons of a bed. Daemons dial all
// their peers through it, so that a cut of one daemon blocks both directions.
type peerNetwork struct {
	mu        sync.Mutex
	locations map[string]location          // by peer address of the daemon
	cut       map[[2]fleet.DataCentre]bool // by pair of data centres, in alphabetical order
	changed   chan struct{}                // closed and replaced when a cut or freeze begins or ends
}

// location is the data centre and the Latch of the daemon at a peer address.
type location struct {
	dataCentre fleet.DataCentre
	gate       *Latch
}

func newPeerNetwork() *peerNetwork {
	return &peerNetwork{
		locations: map[string]location{},
		cut:       map[[2]fleet.DataCentre]bool{},
		changed:   make(chan struct{}),
	}
}

// add registers the daemon at a peer address.
func (n *peerNetwork) add(address string, at location) {
	n.mu.Lock()
	n.locations[address] = at
	n.mu.Unlock()
	at.gate.onChange(n.signal)
}

// signal wakes everything that waits for a change.
func (n *peerNetwork) signal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.changed)
	n.changed = make(chan struct{})
}

// setCut creates or heals a partition between two data centres.
func (n *peerNetwork) setCut(a, b fleet.DataCentre, cut bool) {
	n.mu.Lock()
	n.cut[[2]fleet.DataCentre{min(a, b), max(a, b)}] = cut
	n.mu.Unlock()
	n.signal()
}

// blocked reports whether traffic between two daemons is blocked, and returns a
// channel that is closed at the next change.
func (n *peerNetwork) blocked(from location, to string) (isBlocked bool, changed <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	other, known := n.locations[to]
	if !known {
		return from.gate.blocksPeers(), n.changed
	}
	pair := [2]fleet.DataCentre{min(from.dataCentre, other.dataCentre), max(from.dataCentre, other.dataCentre)}
	return n.cut[pair] || from.gate.blocksPeers() || other.gate.blocksPeers(), n.changed
}

// dialer returns the dial function of a daemon. While the network
// to the peer is blocked, a dial waits, as it does when packets are lost; it fails
// with a CutError if ctx ends before the network is open again.
func (n *peerNetwork) dialer(from location) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		for {
			isBlocked, changed := n.blocked(from, address)
			if !isBlocked {
				break
			}
			select {
			case <-changed:
			case <-ctx.Done():
				return nil, &CutError{Side: SidePeers}
			}
		}
		dialer := &net.Dialer{}
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &networkConn{Conn: conn, network: n, from: from, to: address, closed: make(chan struct{})}, nil
	}
}
