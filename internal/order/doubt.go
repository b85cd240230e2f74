package order

import (
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/infra"
)

// Doubt marks a claim as unclear that was not settled in time. Any daemon may
// write it: it grants nothing.
type Doubt struct {
	Key   Key            `cbor:"1,keyasint"`
	Claim infra.Offset   `cbor:"2,keyasint"`
	By    fleet.DaemonID `cbor:"3,keyasint"`
}
