package relay

import (
	"sync"

	"github.com/plantainmux/plantainmux/internal/suspect"
)

// recalls holds, by trait, this daemon's local attempts that do not run isolated
// and can be recalled until their first frame.
type recalls struct {
	mu       sync.Mutex // held only for a look-up
	attempts map[suspect.Trait]map[*recall]struct{}
}

func newRecalls() *recalls {
	return &recalls{attempts: map[suspect.Trait]map[*recall]struct{}{}}
}

func (r *recalls) add(traits []suspect.Trait, attempt *recall) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, trait := range traits {
		if r.attempts[trait] == nil {
			r.attempts[trait] = map[*recall]struct{}{}
		}
		r.attempts[trait][attempt] = struct{}{}
	}
}

func (r *recalls) remove(traits []suspect.Trait, attempt *recall) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, trait := range traits {
		delete(r.attempts[trait], attempt)
		if len(r.attempts[trait]) == 0 {
			delete(r.attempts, trait)
		}
	}
}

// trigger recalls the attempts of requests with a trait.
func (r *recalls) trigger(trait suspect.Trait) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for attempt := range r.attempts[trait] {
		attempt.trigger()
	}
}
