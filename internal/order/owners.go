package order

import (
	"slices"
	"sync/atomic"

	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/rendezvous"
)

// owners are the daemons that follow each slot, its owner first, as chosen among
// some candidates. It is immutable.
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

// ownersCache keeps the choice until the candidates change.
type ownersCache struct {
	chosen atomic.Pointer[owners]
}

func (c *ownersCache) of(slot Slot, candidates []fleet.DaemonID) []fleet.DaemonID {
	known := c.chosen.Load()
	if known == nil || !slices.Equal(known.candidates, candidates) {
		known = chooseOwners(candidates)
		c.chosen.Store(known)
	}
	return known.bySlot[slot]
}
