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

// CrashSuspects counts, by request fingerprint, the endpoint crashes that happened
// while the request was in progress. It is safe for concurrent use.
type CrashSuspects struct {
	mu      sync.Mutex
	crashes map[uint64]*crashes
}

type crashes struct {
	local  int // observed by this daemon
	remote int // observed by other daemons
	at     time.Time
}

// NewCrashSuspects returns an empty CrashSuspects.
func NewCrashSuspects() *CrashSuspects { return &CrashSuspects{crashes: map[uint64]*crashes{}} }

// RecordCrash records that an endpoint crashed while it ran the request.
func (s *CrashSuspects) RecordCrash(fingerprint uint64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.entry(fingerprint, now)
	if c != nil {
		c.local++
		c.at = now
	}
}

// Clear removes the entry of a request that was served successfully.
func (s *CrashSuspects) Clear(fingerprint uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.crashes, fingerprint)
}

// Blocked reports whether the request has reached the crash limit and must not run
// again.
func (s *CrashSuspects) Blocked(fingerprint uint64, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.crashes[fingerprint]
	return c != nil && c.local+c.remote >= crashLimit && now.Sub(c.at) < crashRetention
}

// Local returns the crashes that this daemon observed, for publication to the other
// daemons.
func (s *CrashSuspects) Local(now time.Time) map[uint64]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	var local map[uint64]int
	for fingerprint, c := range s.crashes {
		if now.Sub(c.at) >= crashRetention {
			delete(s.crashes, fingerprint)
			continue
		}
		if c.local == 0 {
			continue
		}
		if local == nil {
			local = map[uint64]int{}
		}
		local[fingerprint] = c.local
	}
	return local
}

// SetRemote records the crashes that all other daemons observed.
func (s *CrashSuspects) SetRemote(seen map[uint64]int, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for fingerprint, count := range seen {
		c := s.entry(fingerprint, now)
		if c != nil && count > c.remote {
			c.remote = count
			c.at = now
		}
	}
}

// entry returns the entry of a request and creates it if needed. It returns nil if
// the request is new and maxTrackedRequests are tracked already.
func (s *CrashSuspects) entry(fingerprint uint64, now time.Time) *crashes {
	c := s.crashes[fingerprint]
	if c == nil && len(s.crashes) < maxTrackedRequests {
		c = &crashes{at: now}
		s.crashes[fingerprint] = c
	}
	return c
}
