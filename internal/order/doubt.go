package order

import (
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/infra"
)

// Doubt marks a claim that was not settled in time as unclear. Any daemon may
// write it, because it grants no right to run the key.
type Doubt struct {
	Key   Key            `cbor:"1,keyasint"`
	Claim infra.Offset   `cbor:"2,keyasint"`
	By    fleet.DaemonID `cbor:"3,keyasint"`
}
