package exchange

import (
	"sync"
	"time"
)

const (
	killerCrashes = 3                // after which a request is refused
	killerMemory  = 60 * time.Second // for which a crash is remembered
	maxKillers    = 1024             // fingerprints
)

// Killers remembers which requests were in progress on endpoints that crashed.
type Killers struct {
	mu      sync.Mutex
	crashes map[uint64]*crashes
}

type crashes struct {
	own   int // seen by this daemon
	other int // seen by other daemons
	at    time.Time
}

// NewKillers returns no killers.
func NewKillers() *Killers { return &Killers{crashes: map[uint64]*crashes{}} }

// Blame notes that an endpoint crashed while it ran a request.
func (k *Killers) Blame(fingerprint uint64, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	c := k.of(fingerprint, now)
	if c != nil {
		c.own++
		c.at = now
	}
}

// Acquit forgets a request that was served.
func (k *Killers) Acquit(fingerprint uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.crashes, fingerprint)
}

// Refuse reports whether a request must not run again.
func (k *Killers) Refuse(fingerprint uint64, now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	c := k.crashes[fingerprint]
	return c != nil && c.own+c.other >= killerCrashes && now.Sub(c.at) < killerMemory
}

// Own returns the crashes that this daemon saw, for the other daemons.
func (k *Killers) Own(now time.Time) map[uint64]int {
	k.mu.Lock()
	defer k.mu.Unlock()
	var own map[uint64]int
	for fingerprint, c := range k.crashes {
		if now.Sub(c.at) >= killerMemory {
			delete(k.crashes, fingerprint)
			continue
		}
		if c.own == 0 {
			continue
		}
		if own == nil {
			own = map[uint64]int{}
		}
		own[fingerprint] = c.own
	}
	return own
}

// SetOther notes the crashes that all other daemons saw.
func (k *Killers) SetOther(seen map[uint64]int, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for fingerprint, count := range seen {
		c := k.of(fingerprint, now)
		if c != nil && count > c.other {
			c.other = count
			c.at = now
		}
	}
}

// of returns the entry of a request, nil when there are too many.
func (k *Killers) of(fingerprint uint64, now time.Time) *crashes {
	c := k.crashes[fingerprint]
	if c == nil && len(k.crashes) < maxKillers {
		c = &crashes{at: now}
		k.crashes[fingerprint] = c
	}
	return c
}
