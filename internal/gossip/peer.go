package gossip

import "time"

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
