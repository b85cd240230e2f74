package spill

import (
	"github.com/plantainmux/plantainmux/internal/endpoint"
	"github.com/plantainmux/plantainmux/internal/refusal"
)

// Answer is one message of the answer to a forwarded request. Exactly one field is
// set. A refusal is always the last message.
type Answer struct {
	Frame   *endpoint.Frame  `json:"frame,omitempty"`
	Refusal *refusal.Refusal `json:"refusal,omitempty"`
}
