package suspect

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// Claim reserves a group for a suspect that its holder runs there, so that other
// daemons run no suspect on that group. Claims are advisory: if two are granted at
// once, it is only uncertain which of the suspects crashed the group.
type Claim struct {
	Holder      fleet.DaemonID      `json:"holder"`
	Group       fleet.FencingNumber `json:"group"`
	Fingerprint uint64              `json:"fingerprint"`
	Until       time.Time           `json:"until"` // zero ends the claim
}
