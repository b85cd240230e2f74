package relay

import (
	"context"

	"github.com/plantainmux/plantainmux/internal/refusal"
)

// Slot is the concurrency slot that admission granted to a request.
type Slot interface {
	// Pause releases the slot temporarily.
	Pause()
	// Resume waits until the slot is granted again.
	Resume(ctx context.Context) *refusal.Refusal
}
