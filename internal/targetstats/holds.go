package targetstats

import (
	"sync"
	"time"

	"github.com/plantainmux/plantainmux/internal/registry"
)

// Holds has the hold of each incarnation of an endpoint, across the groups that it heads.
type Holds struct {
	mu    sync.Mutex
	byKey map[string]*Hold
}

// NewHolds returns an empty set of holds.
func NewHolds() *Holds { return &Holds{byKey: map[string]*Hold{}} }

// GetOrCreate returns the hold of an incarnation of an endpoint.
func (h *Holds) GetOrCreate(id string, incarnation int64) *Hold {
	h.mu.Lock()
	defer h.mu.Unlock()
	key := registry.IncarnationKey(id, incarnation)
	hold := h.byKey[key]
	if hold == nil {
		hold = &Hold{}
		h.byKey[key] = hold
	}
	return hold
}

// Retain deletes the holds that are over and not among those in use.
func (h *Holds) Retain(inUse map[*Hold]bool, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for key, hold := range h.byKey {
		if !inUse[hold] && hold.Remaining(now) == 0 {
			delete(h.byKey, key)
		}
	}
}
