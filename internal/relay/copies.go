package relay

import (
	"sync"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// copiesTogether is how many copies share a group. It bounds how far a request that
// many callers send departs from routing by load.
const copiesTogether = 8

// copies knows the group on which a daemon's requests of one fingerprint are in
// progress. Copies share a group, so that one that crashes it costs no other.
type copies struct {
	mu     sync.Mutex // held for a look-up only
	places map[uint64]*copyPlace
}

func newCopies() *copies { return &copies{places: map[uint64]*copyPlace{}} }

// begin returns the group of the copies in progress, if a further one may join
// them there, and else the group that was chosen. The caller calls end once.
func (c *copies) begin(fingerprint uint64, chosen fleet.FencingNumber, joinable func(fleet.FencingNumber) bool) (group fleet.FencingNumber, end func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	place, ok := c.places[fingerprint]
	if !ok || place.count >= copiesTogether || !joinable(place.group) {
		place = &copyPlace{group: chosen}
		c.places[fingerprint] = place
	}
	place.count++
	return place.group, func() { c.end(fingerprint, place) }
}

func (c *copies) end(fingerprint uint64, place *copyPlace) {
	c.mu.Lock()
	defer c.mu.Unlock()
	place.count--
	if place.count == 0 && c.places[fingerprint] == place {
		delete(c.places, fingerprint)
	}
}
