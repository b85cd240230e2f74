package order

import "github.com/plantainmux/plantainmux/internal/infra"

// Settlement is an operator's decision on whether an unclear order ran.
type Settlement struct {
	Key      Key          `cbor:"1,keyasint"`
	Claim    infra.Offset `cbor:"2,keyasint"`
	Ran      bool         `cbor:"3,keyasint"`
	Operator string       `cbor:"4,keyasint"`
}
