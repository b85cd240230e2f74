package spill

import (
	"github.com/plantainmux/plantainmux/internal/endpoint"
	"github.com/plantainmux/plantainmux/internal/refusal"
)

// Answer is one message of a forwarded request's answer. One field is set; a
// refusal is the last message.
type Answer struct {
	Frame   *endpoint.Frame  `json:"frame,omitempty"`
	Refusal *refusal.Refusal `json:"refusal,omitempty"`
}
