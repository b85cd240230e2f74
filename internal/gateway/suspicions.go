package gateway

import (
	"sync"
	"time"

	"github.com/plantainmux/plantainmux/internal/gossip"
)

// suspicionPublishPeriod is how long a suspicion is sent to the other daemons. It spans
// several datagrams, so that a lost one does not matter.
const suspicionPublishPeriod = 500 * time.Millisecond

// suspicions holds the groups that this daemon suspects to have failed, until each
// suspicion expires.
type suspicions struct {
	mu        sync.Mutex
	expiresAt map[gossip.Suspicion]time.Time
}

func (s *suspicions) add(suspicion gossip.Suspicion, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.expiresAt == nil {
		s.expiresAt = map[gossip.Suspicion]time.Time{}
	}
	s.expiresAt[suspicion] = now.Add(suspicionPublishPeriod)
}

// clear drops all suspicions.
func (s *suspicions) clear() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.expiresAt)
}

func (s *suspicions) list(now time.Time) []gossip.Suspicion {
	s.mu.Lock()
	defer s.mu.Unlock()
	var listed []gossip.Suspicion
	for suspicion, expiresAt := range s.expiresAt {
		if now.After(expiresAt) {
			delete(s.expiresAt, suspicion)
			continue
		}
		listed = append(listed, suspicion)
	}
	return listed
}
