package order

import (
	"slices"
	"sync/atomic"

	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/rendezvous"
)

// owners is the assignment of slots to daemons for a list of candidates, with the
// owner of a slot first. It is immutable.
type owners struct {
	candidates []fleet.DaemonID
	bySlot     [Slots][]fleet.DaemonID
}

func chooseOwners(candidates []fleet.DaemonID) *owners {
	chosen := &owners{candidates: slices.Clone(candidates)}
	for slot := range chosen.bySlot {
		chosen.bySlot[slot] = rendezvous.Choose(StreamName(Slot(slot)), candidates, ownersPerSlot)
	}
	return chosen
}

// ownersCache caches the assignment until the candidates change.
type ownersCache struct {
	chosen atomic.Pointer[owners]
}

func (c *ownersCache) of(slot Slot, candidates []fleet.DaemonID) []fleet.DaemonID {
	cached := c.chosen.Load()
	if cached == nil || !slices.Equal(cached.candidates, candidates) {
		cached = chooseOwners(candidates)
		c.chosen.Store(cached)
	}
	return cached.bySlot[slot]
}
