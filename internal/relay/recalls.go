package relay

import "sync"

// recalls holds the attempts of a daemon that have brought no frame yet and do not run
// alone, by fingerprint.
type recalls struct {
	mu       sync.Mutex // held for a look-up only
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

// make recalls the attempts of a fingerprint.
func (r *recalls) make(fingerprint uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for attempt := range r.attempts[fingerprint] {
		attempt.make()
	}
}
