package order

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/endpoint"
	"github.com/plantainmux/plantainmux/internal/platform"
)

// Record is what the fold knows of one key.
type Record struct {
	Claim     Claim                  `json:"claim"`
	Offset    platform.Offset        `json:"offset"` // of the claim in force
	Writer    string                 `json:"writer"`
	ClaimedAt time.Time              `json:"claimed_at"`
	State     State                  `json:"state"`
	Answer    endpoint.ServiceAnswer `json:"answer"`
}
