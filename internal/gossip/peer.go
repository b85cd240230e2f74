package gossip

import "time"

// Peer is another daemon.
type Peer struct {
	Node        string
	Address     string // IP and port, of datagrams and of HTTP alike
	Zone        string
	Incarnation int64

	heard    time.Time // of the last datagram
	sequence uint64
	message  Message
	sent     time.Time
}
