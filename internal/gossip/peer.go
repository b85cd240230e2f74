package gossip

import "time"

// newPeerPeriod is how long a daemon counts as new after its registration was read: longer than it takes to register
// and to exchange datagrams with all others.
const newPeerPeriod = 15 * time.Second

// Peer is the state of another daemon.
type Peer struct {
	Node        string
	Address     string // IP and port of both UDP datagrams and HTTP
	DataCentre  string
	Incarnation int64
	CPUShare    float64 // of a core; 0 if not known

	learntAt     time.Time // when its registration was read
	lastSeen     time.Time // last sign of life, from its own datagrams or from digests
	lastReceived time.Time // last datagram received from the peer itself
	reachesStore bool      // the peer reaches the store
	draining     bool
	cutOff       bool // the peer is cut off from the endpoints
	sequence     uint64
	message      Message
	lastSent     time.Time // last datagram sent to the peer
}

// isNew reports whether the daemon has started recently.
func (p *Peer) isNew(now time.Time) bool { return now.Sub(p.learntAt) < newPeerPeriod }
