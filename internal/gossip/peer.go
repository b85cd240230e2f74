package gossip

import "time"

// Peer is another daemon.
type Peer struct {
	Node        string
	Address     string // IP and port, of datagrams and of HTTP alike
	Zone        string
	Incarnation int64

	heard    time.Time // when it last lived, by its own datagrams and by digests
	told     time.Time // of its own last datagram
	store    bool      // it reaches the store
	draining bool
	sequence uint64
	message  Message
	sent     time.Time // of the last datagram to it, digests aside
}
