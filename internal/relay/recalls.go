package relay

import "sync"

// recalls holds, by fingerprint, this daemon's local attempts that do not run isolated
// and can be recalled until their first frame.
type recalls struct {
	mu       sync.Mutex // held only for a look-up
	attempts map[uint64]map[*recall]struct{}
}

func newRecalls() *recalls {
	return &recalls{attempts: map[uint64]map[*recall]struct{}{}}
}

func (r *recalls) add(fingerprint uint64, attempt *recall) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.attempts[fingerprint] == nil {
		r.attempts[fingerprint] = map[*recall]struct{}{}
	}
	r.attempts[fingerprint][attempt] = struct{}{}
}

func (r *recalls) remove(fingerprint uint64, attempt *recall) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.attempts[fingerprint], attempt)
	if len(r.attempts[fingerprint]) == 0 {
		delete(r.attempts, fingerprint)
	}
}

// trigger recalls the attempts of a fingerprint.
func (r *recalls) trigger(fingerprint uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for attempt := range r.attempts[fingerprint] {
		attempt.trigger()
	}
}
