package forward

import (
	"net/http"

	"github.com/plantainmux/plantainmux/internal/delivery"
	"github.com/plantainmux/plantainmux/internal/outbound"
)

// message is one message of the answer to a forwarded exchange: a head, then data up to the end
// of the body, or a failure instead of any of them.
type message struct {
	Head    *head    `cbor:"1,keyasint,omitempty"`
	Data    []byte   `cbor:"2,keyasint,omitempty"`
	End     bool     `cbor:"3,keyasint,omitempty"` // the body is complete
	Failure *failure `cbor:"4,keyasint,omitempty"`
}

// head is the head of an endpoint's response.
type head struct {
	Status int         `cbor:"1,keyasint"`
	Header http.Header `cbor:"2,keyasint,omitempty"`
}

// failure says why an exchange has no response, or none that is complete.
type failure struct {
	NotSent bool           `cbor:"1,keyasint,omitempty"` // no byte reached the endpoint, nor will
	Blame   outbound.Blame `cbor:"2,keyasint,omitempty"` // if NotSent
	Text    string         `cbor:"3,keyasint,omitempty"`
	// Withdrawn is the address to which the exchange was under way when it was withdrawn.
	Withdrawn string `cbor:"4,keyasint,omitempty"`
}

// err returns the error that the sender of the exchange gets.
func (f *failure) err(via string) error {
	if f.NotSent {
		return &outbound.NotSentError{Blame: f.Blame, Err: &outbound.RemoteError{Daemon: via, Text: f.Text}}
	}
	remote := &outbound.RemoteError{Daemon: via, Text: f.Text}
	if f.Withdrawn != "" {
		remote.Err = &delivery.WithdrawnError{Address: f.Withdrawn}
	}
	return remote
}
