package exchange

import (
	"sync"
	"time"
)

const (
	crashLimit         = 3                // crashes after which a request is refused
	crashRetention     = 60 * time.Second // period during which a crash counts
	maxTrackedRequests = 1024             // fingerprints
)

// Killers counts, by request fingerprint, the endpoint crashes that happened while
// the request was in progress. It is safe for concurrent use.
type Killers struct {
	mu      sync.Mutex
	crashes map[uint64]*crashes
}

type crashes struct {
	own   int // observed by this daemon
	other int // observed by other daemons
	at    time.Time
}

// NewKillers returns an empty Killers.
func NewKillers() *Killers { return &Killers{crashes: map[uint64]*crashes{}} }

// Blame records that an endpoint crashed while it ran the request.
func (k *Killers) Blame(fingerprint uint64, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	c := k.entry(fingerprint, now)
	if c != nil {
		c.own++
		c.at = now
	}
}

// Acquit removes the entry of a request that was served successfully.
func (k *Killers) Acquit(fingerprint uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.crashes, fingerprint)
}

// Refuse reports whether the request has reached the crash limit and must not run
// again.
func (k *Killers) Refuse(fingerprint uint64, now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	c := k.crashes[fingerprint]
	return c != nil && c.own+c.other >= crashLimit && now.Sub(c.at) < crashRetention
}

// Own returns the crashes that this daemon observed, for publication to the other
// daemons.
func (k *Killers) Own(now time.Time) map[uint64]int {
	k.mu.Lock()
	defer k.mu.Unlock()
	var own map[uint64]int
	for fingerprint, c := range k.crashes {
		if now.Sub(c.at) >= crashRetention {
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

// SetOther records the crashes that all other daemons observed.
func (k *Killers) SetOther(seen map[uint64]int, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for fingerprint, count := range seen {
		c := k.entry(fingerprint, now)
		if c != nil && count > c.other {
			c.other = count
			c.at = now
		}
	}
}

// entry returns the entry of a request and creates it if needed. It returns nil if
// the request is new and maxTrackedRequests are tracked already.
func (k *Killers) entry(fingerprint uint64, now time.Time) *crashes {
	c := k.crashes[fingerprint]
	if c == nil && len(k.crashes) < maxTrackedRequests {
		c = &crashes{at: now}
		k.crashes[fingerprint] = c
	}
	return c
}
