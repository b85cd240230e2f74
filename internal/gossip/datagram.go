package gossip

import "github.com/fxamacker/cbor/v2"

// datagram is an outgoing datagram.
type datagram struct {
	to      *Peer
	digests []cbor.RawMessage // encoded digests sent along with the daemon's own message
	brief   bool              // the receiver learns this daemon's loads and news from digests
}
