package gossip

import "github.com/fxamacker/cbor/v2"

// Message is the state that a daemon sends in one datagram.
type Message struct {
	Node        string          `cbor:"1,keyasint"`
	Incarnation int64           `cbor:"2,keyasint"` // Unix milliseconds of the daemon's start
	Sequence    uint64          `cbor:"3,keyasint"`
	Draining    bool            `cbor:"4,keyasint,omitempty"`
	Traffic     bool            `cbor:"5,keyasint,omitempty"` // the daemon has received requests
	Store       bool            `cbor:"6,keyasint,omitempty"` // the daemon reaches the store
	Config      int64           `cbor:"7,keyasint,omitempty"` // configuration version in force
	Loads       map[uint32]Load `cbor:"8,keyasint,omitempty"` // by HashKey of the target
	Doubts      []Doubt         `cbor:"9,keyasint,omitempty"`
	Opened      []Doubt         `cbor:"11,keyasint,omitempty"` // groups that have just started to serve
	Crashes     map[uint64]int  `cbor:"10,keyasint,omitempty"` // by fingerprint of a request

	Returning []uint32 `cbor:"13,keyasint,omitempty"` // shortened fingerprints of requests that recently ended without an answer

	Digests []cbor.RawMessage `cbor:"12,keyasint,omitempty"` // encoded Digest of each data centre; set by hubs
}
