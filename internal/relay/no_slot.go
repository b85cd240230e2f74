package relay

import (
	"context"

	"github.com/plantainmux/plantainmux/internal/refusal"
)

// noSlot is the Slot of a request that another data centre runs.
type noSlot struct{}

// Pause implements Slot.
func (noSlot) Pause() {}

// Resume implements Slot.
func (noSlot) Resume(context.Context) *refusal.Refusal { return nil }
