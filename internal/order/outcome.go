package order

import (
	"github.com/plantainmux/plantainmux/internal/endpoint"
	"github.com/plantainmux/plantainmux/internal/infra"
)

// Outcome settles a claim. Only the writer of the claim may write one.
type Outcome struct {
	Key        Key                    `cbor:"1,keyasint"`
	Claim      infra.Offset           `cbor:"2,keyasint"` // offset of the claim that it settles
	State      State                  `cbor:"3,keyasint"` // Ran, NotRan or Unclear
	AnswerKept bool                   `cbor:"4,keyasint"`
	Answer     endpoint.ServiceAnswer `cbor:"5,keyasint"`
}
