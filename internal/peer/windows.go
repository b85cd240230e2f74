package peer

import (
	"sync"
	"time"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

const (
	windowLife   = 10 * time.Minute // silence after which a publisher is forgotten
	maxPublisher = 4096             // publishers remembered
)

// windows recognises publications to the fleet that came before.
type windows struct {
	mu      sync.Mutex
	origins map[fleet.DaemonID]*originWindow
}

// originWindow is the window of one publisher.
type originWindow struct {
	window
	last time.Time
}

func newWindows() *windows {
	return &windows{origins: map[fleet.DaemonID]*originWindow{}}
}

// admit reports whether a publication is new at now.
func (w *windows) admit(origin fleet.DaemonID, sequence uint64, now time.Time) bool {
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

// expire makes room: it forgets silent publishers once the table is full.
func (w *windows) expire(now time.Time) {
	if len(w.origins) < maxPublisher {
		return
	}
	for origin, known := range w.origins {
		if now.Sub(known.last) > windowLife {
			delete(w.origins, origin)
		}
	}
}
