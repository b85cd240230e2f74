package relay

import (
	"context"

	"github.com/plantainmux/plantainmux/internal/refusal"
)

// Slot is a request's place in the division of capacity.
type Slot interface {
	// Pause gives the place back for a while.
	Pause()
	// Resume waits for a place again.
	Resume(ctx context.Context) *refusal.Refusal
}
