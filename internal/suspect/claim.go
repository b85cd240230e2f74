package suspect

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// Claim says that a daemon runs a suspect on a group, so that others keep
// theirs away from it. It is soft: two claims at once cost certainty about
// which suspect crashed the group.
type Claim struct {
	Holder      fleet.DaemonID      `json:"holder"`
	Group       fleet.FencingNumber `json:"group"`
	Fingerprint uint64              `json:"fingerprint"`
	Until       time.Time           `json:"until"` // zero ends the claim
}
