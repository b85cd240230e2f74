package peer

import (
	"sync"
	"time"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

const (
	publisherTTL  = 10 * time.Minute // time since its last publication after which a publisher may be evicted
	maxPublishers = 4096             // number of publishers from which expired ones are evicted
)

// deduplicator detects publications to the fleet that were already received.
type deduplicator struct {
	mu      sync.Mutex
	origins map[fleet.DaemonID]*originWindow
}

// originWindow is the sequence window of one publisher.
type originWindow struct {
	sequenceWindow
	last time.Time // last publication
}

func newDeduplicator() *deduplicator {
	return &deduplicator{origins: map[fleet.DaemonID]*originWindow{}}
}

// admit records a publication received at now and reports whether it is new.
func (w *deduplicator) admit(origin fleet.DaemonID, sequence uint64, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	known, ok := w.origins[origin]
	if !ok {
		w.expire(now)
		known = &originWindow{}
		w.origins[origin] = known
	}
	known.last = now
	return known.admit(sequence)
}

// expire evicts publishers that have exceeded publisherTTL, once the table is
// full.
func (w *deduplicator) expire(now time.Time) {
	if len(w.origins) < maxPublishers {
		return
	}
	for origin, known := range w.origins {
		if now.Sub(known.last) > publisherTTL {
			delete(w.origins, origin)
		}
	}
}
