package peer

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// frame is one unit on the wire. A WebSocket message carries one or more.
type frame struct {
	Kind       frameKind        `cbor:"1,keyasint"`
	ID         uint64           `cbor:"2,keyasint,omitempty"` // of the call, or sequence number of a publication
	Name       string           `cbor:"3,keyasint,omitempty"` // topic or method
	Body       cbor.RawMessage  `cbor:"4,keyasint,omitempty"`
	Origin     fleet.DaemonID   `cbor:"5,keyasint,omitempty"` // publisher, of a publication to the fleet
	Hops       int              `cbor:"6,keyasint,omitempty"` // links that a publication to the fleet has passed
	DataCentre fleet.DataCentre `cbor:"7,keyasint,omitempty"` // that a streamed call is for
	Failure    failureCode      `cbor:"8,keyasint,omitempty"`
	Message    string           `cbor:"9,keyasint,omitempty"`  // of a failure
	Credit     int              `cbor:"10,keyasint,omitempty"` // answers more that the caller takes
	Echo       Stamp            `cbor:"11,keyasint,omitempty"` // newest stamp received from the other side
	Held       Stamp            `cbor:"12,keyasint,omitempty"` // how long it has been held
	MayWait    bool             `cbor:"13,keyasint,omitempty"` // a publication to the fleet that may wait on each link
}

func encodeFrame(f frame) ([]byte, error) {
	return cbor.Marshal(f)
}
