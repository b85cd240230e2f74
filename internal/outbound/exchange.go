package outbound

import (
	"net/http"

	"github.com/plantainmux/plantainmux/internal/locality"
)

// Exchange is one HTTP request to an endpoint. It is sent at most once.
type Exchange struct {
	RequestID string      `cbor:"1,keyasint,omitempty"` // of the caller's request, for the log
	Endpoint  Endpoint    `cbor:"2,keyasint"`
	Method    string      `cbor:"3,keyasint"`
	Target    string      `cbor:"4,keyasint"` // path and query
	Host      string      `cbor:"5,keyasint,omitempty"`
	Header    http.Header `cbor:"6,keyasint,omitempty"`
	Body      []byte      `cbor:"7,keyasint,omitempty"`
	// Fresh requests a new connection: on one that was in use, a request cannot be told from one
	// that the endpoint never read.
	Fresh bool `cbor:"8,keyasint,omitempty"`
	// Repeatable states that the request may be sent again after it was lost.
	Repeatable bool `cbor:"9,keyasint,omitempty"`
	// Allowed are the regions in which the request may be handled; nil: all. Daemons of earlier
	// versions neither send nor read it.
	Allowed *locality.Allowed `cbor:"10,keyasint,omitempty"`
}
