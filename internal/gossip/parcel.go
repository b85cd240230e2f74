package gossip

import "github.com/fxamacker/cbor/v2"

// parcel is one datagram on its way.
type parcel struct {
	to    *Peer
	zones []cbor.RawMessage // digests that go with the own message
}
