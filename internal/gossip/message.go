package gossip

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/plantainmux/plantainmux/internal/demand"
	"github.com/plantainmux/plantainmux/internal/evacuation"
	"github.com/plantainmux/plantainmux/internal/registry"
	"github.com/plantainmux/plantainmux/internal/suspect"
	"github.com/plantainmux/plantainmux/internal/targetstats"
)

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
	Suspicions  []Suspicion     `cbor:"9,keyasint,omitempty"`
	NewGroups   []Suspicion     `cbor:"11,keyasint,omitempty"` // groups that have just started to serve; only Group and Epoch are set
	// Suspects is what the daemon knows of requests and prompt parts that crash endpoints, own and
	// learnt. A hub has learnt it from the daemons of its data centre, so that digests carry none.
	Suspects []suspect.Report `cbor:"14,keyasint,omitempty"`

	// Limits is what the daemon knows of limits that endpoints name, own and learnt, as Suspects.
	Limits []targetstats.LimitReport `cbor:"15,keyasint,omitempty"`

	CutOff bool `cbor:"16,keyasint,omitempty"` // the daemon is cut off from the endpoints

	// Evacuations is what the daemon knows of evacuated data centres that the others may not have read.
	Evacuations []evacuation.Report `cbor:"17,keyasint,omitempty"`

	FailedRequests []uint32 `cbor:"13,keyasint,omitempty"` // shortened fingerprints of requests that recently ended without an answer

	// Demand is what callers asked this daemon for over the last 2 s, at most 23 bytes per model and
	// priority. A daemon that sends none had no requests for groups, or is of an earlier version.
	Demand []demand.Report `cbor:"18,keyasint,omitempty"`

	// Departures are the endpoints that have left recently, for daemons that have started since.
	Departures []registry.DepartureReport `cbor:"19,keyasint,omitempty"`

	Digests []cbor.RawMessage `cbor:"12,keyasint,omitempty"` // encoded Digest of each data centre; set by hubs
}

// brief returns the message without what digests carry: bytes between data centres are dear, and
// the direct datagrams of a fleet that uses hubs show little more than that their sender is alive.
func (m Message) brief() Message {
	m.Loads, m.Suspicions, m.NewGroups, m.FailedRequests, m.Demand = nil, nil, nil, nil, nil
	return m
}
