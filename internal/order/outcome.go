package order

import (
	"github.com/plantainmux/plantainmux/internal/endpoint"
	"github.com/plantainmux/plantainmux/internal/platform"
)

// Outcome settles a claim.
type Outcome struct {
	Key    Key                    `json:"key"`
	Claim  platform.Offset        `json:"claim"` // offset of the claim it settles
	State  State                  `json:"state"`
	Answer endpoint.ServiceAnswer `json:"answer"`
}
