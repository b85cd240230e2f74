package peer

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// frame is the unit of the wire protocol. A WebSocket message carries one or
// more frames.
type frame struct {
	Kind       frameKind        `cbor:"1,keyasint"`
	ID         uint64           `cbor:"2,keyasint,omitempty"` // call id, or sequence number of a publication to the fleet
	Name       string           `cbor:"3,keyasint,omitempty"` // topic or method
	Body       cbor.RawMessage  `cbor:"4,keyasint,omitempty"`
	Origin     fleet.DaemonID   `cbor:"5,keyasint,omitempty"` // publisher of a publication to the fleet
	Hops       int              `cbor:"6,keyasint,omitempty"` // links already passed by a publication to the fleet
	DataCentre fleet.DataCentre `cbor:"7,keyasint,omitempty"` // destination of a streamed call
	Failure    failureCode      `cbor:"8,keyasint,omitempty"`
	Message    string           `cbor:"9,keyasint,omitempty"`  // failure message
	Credit     int              `cbor:"10,keyasint,omitempty"` // additional answers that the caller accepts
	Echo       Timestamp        `cbor:"11,keyasint,omitempty"` // newest timestamp received from the other side
	Held       Timestamp        `cbor:"12,keyasint,omitempty"` // time since that timestamp was received
	Deferrable bool             `cbor:"13,keyasint,omitempty"` // a publication to the fleet that may wait to be coalesced on each link
	Sent       Timestamp        `cbor:"14,keyasint,omitempty"` // clock of the caller when it made a call
	Valid      Timestamp        `cbor:"15,keyasint,omitempty"` // milliseconds from then on within which the call may begin; 0: at any time
}

func encodeFrame(f frame) ([]byte, error) {
	return cbor.Marshal(f)
}
