package peer

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// register takes a link into use, unless a better one to the same daemon
// exists. Both sides keep the link that the daemon with the lower id dialled,
// and the newer one of two by the same dialer.
func (n *Network) register(l *link) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	old, exists := n.links[l.remote.Daemon]
	if exists && n.preferred(old) && !n.preferred(l) {
		return false
	}
	if exists {
		go old.retire(&ClosedError{Reason: "replaced by another link"})
	}
	l.clock = n.clocks.of(l.remote.Daemon)
	n.links[l.remote.Daemon] = l
	n.running[l] = true
	n.refresh()
	n.greet(l)
	n.tellClock(l)
	return true
}

// preferred reports whether a link was dialled by the daemon with the lower id.
func (n *Network) preferred(l *link) bool {
	return l.dialled == (n.options.Self < l.remote.Daemon)
}

// unregister takes a link out of use.
func (n *Network) unregister(l *link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.running, l)
	if n.links[l.remote.Daemon] != l {
		return
	}
	delete(n.links, l.remote.Daemon)
	n.clocks.keep(n.links)
	n.refresh()
}

// noteState stores what a peer says of itself.
func (n *Network) noteState(l *link, f frame) {
	var state remoteState
	if err := cbor.Unmarshal(f.Body, &state); err != nil {
		l.close(&ProtocolError{Rule: "a state frame carries a state: " + err.Error()})
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	l.state.Store(&state)
	n.refresh()
}

// refresh publishes a new routing snapshot and tells the peers what changed
// for them. The caller holds mu.
func (n *Network) refresh() {
	next := newRouting(n.self, remoteState{Leaving: n.leaving, LogAway: n.logAway}, n.links)
	n.routing.Store(next)
	close(n.changed)
	n.changed = make(chan struct{})
	state := remoteState{Leaving: n.leaving, LogAway: n.logAway, DataCentres: sortedKeys(next.regional)}
	if state.equals(n.told) {
		return
	}
	n.told = state
	for _, l := range n.links {
		n.greet(l)
	}
}

// greet tells one peer the own state. The caller holds mu.
func (n *Network) greet(l *link) {
	body, err := cbor.Marshal(n.told)
	if err != nil {
		return
	}
	data, err := encodeFrame(frame{Kind: frameState, Body: body})
	if err == nil {
		err = l.queue.tryPush(data)
	}
	if err != nil {
		l.close(err)
	}
}

// linked reports whether a link to a daemon exists, and a channel that is
// closed at the next change.
func (n *Network) linked(daemon fleet.DaemonID) (bool, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	_, ok := n.links[daemon]
	return ok, n.changed
}
