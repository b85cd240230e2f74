package peer

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// register puts a link into use, unless a preferred link to the same daemon
// exists. Both sides choose the link dialled by the daemon with the lower id,
// and the newer of two links with the same dialer.
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
	n.updateRouting()
	n.sendState(l)
	n.sendClock(l)
	return true
}

// preferred reports whether a link was dialled by the daemon with the lower id.
func (n *Network) preferred(l *link) bool {
	return l.dialled == (n.options.Self < l.remote.Daemon)
}

// unregister removes a closed link.
func (n *Network) unregister(l *link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.running, l)
	if n.links[l.remote.Daemon] != l {
		return
	}
	delete(n.links, l.remote.Daemon)
	n.clocks.retain(n.links)
	n.updateRouting()
}

// handleState stores the state announced by a peer.
func (n *Network) handleState(l *link, f frame) {
	var state remoteState
	if err := cbor.Unmarshal(f.Body, &state); err != nil {
		l.close(&ProtocolError{Rule: "a state frame carries a state: " + err.Error()})
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	l.state.Store(&state)
	n.updateRouting()
}

// updateRouting publishes a new routing snapshot and announces the local state
// to all peers if it has changed. The caller holds mu.
func (n *Network) updateRouting() {
	state := remoteState{Leaving: n.leaving, LogUnreachable: n.logUnreachable, CutOff: n.cutOff}
	next := newRouting(n.self, state, n.links)
	n.routing.Store(next)
	close(n.changed)
	n.changed = make(chan struct{})
	state.DataCentres = sortedKeys(next.byDataCentre)
	if state.equals(n.announced) {
		return
	}
	n.announced = state
	for _, l := range n.links {
		n.sendState(l)
	}
}

// sendState sends the local state to one peer. The caller holds mu.
func (n *Network) sendState(l *link) {
	body, err := cbor.Marshal(n.announced)
	if err != nil {
		return
	}
	data, err := encodeFrame(frame{Kind: frameState, Body: body})
	if err == nil {
		err = l.queue.tryPush(queuedFrame{data: data})
	}
	if err != nil {
		l.close(err)
	}
}

// linked reports whether a link to a daemon exists. The channel is closed at
// the next routing change.
func (n *Network) linked(daemon fleet.DaemonID) (bool, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	_, ok := n.links[daemon]
	return ok, n.changed
}
