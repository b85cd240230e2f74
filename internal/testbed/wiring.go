package testbed

import (
	"context"
	"net"
	"sync"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// wiring is the network between the daemons of a bed. Every link is dialled
// through it, so that one side's cut holds both ways.
type wiring struct {
	mu      sync.Mutex
	places  map[string]place // by peer address
	cut     map[[2]fleet.DataCentre]bool
	changed chan struct{} // closed and replaced when a cut or freeze ends or begins
}

// place is where a peer address is.
type place struct {
	dataCentre fleet.DataCentre
	latch      *Latch
}

func newWiring() *wiring {
	return &wiring{
		places:  map[string]place{},
		cut:     map[[2]fleet.DataCentre]bool{},
		changed: make(chan struct{}),
	}
}

// add notes the daemon at a peer address.
func (w *wiring) add(address string, at place) {
	w.mu.Lock()
	w.places[address] = at
	w.mu.Unlock()
	at.latch.onChange(w.signal)
}

func (w *wiring) signal() {
	w.mu.Lock()
	defer w.mu.Unlock()
	close(w.changed)
	w.changed = make(chan struct{})
}

// setCut cuts or mends the network between two data centres.
func (w *wiring) setCut(a, b fleet.DataCentre, cut bool) {
	w.mu.Lock()
	w.cut[[2]fleet.DataCentre{min(a, b), max(a, b)}] = cut
	w.mu.Unlock()
	w.signal()
}

// state reports whether two daemons cannot reach each other, and a channel
// that is closed at the next change.
func (w *wiring) state(from place, to string) (held bool, changed <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	other, known := w.places[to]
	if !known {
		return from.latch.holdsPeers(), w.changed
	}
	pair := [2]fleet.DataCentre{min(from.dataCentre, other.dataCentre), max(from.dataCentre, other.dataCentre)}
	return w.cut[pair] || from.latch.holdsPeers() || other.latch.holdsPeers(), w.changed
}

// dialer returns the dial function of a daemon. A dial waits for the end of a
// cut, as packets that get lost do.
func (w *wiring) dialer(from place) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		for {
			held, changed := w.state(from, address)
			if !held {
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
		return &wiredConn{Conn: conn, wiring: w, from: from, to: address, closed: make(chan struct{})}, nil
	}
}
