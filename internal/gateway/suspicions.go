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
	mu     sync.Mutex
	seenAt map[gossip.Suspicion]time.Time // without ages
}

func (s *suspicions) add(suspicion gossip.Suspicion, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.seenAt == nil {
		s.seenAt = map[gossip.Suspicion]time.Time{}
	}
	s.seenAt[suspicion] = now
}

// clear drops all suspicions.
func (s *suspicions) clear() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.seenAt)
}

// list returns the suspicions with their ages.
func (s *suspicions) list(now time.Time) []gossip.Suspicion {
	s.mu.Lock()
	defer s.mu.Unlock()
	var listed []gossip.Suspicion
	for suspicion, seenAt := range s.seenAt {
		age := now.Sub(seenAt)
		if age > suspicionPublishPeriod {
			delete(s.seenAt, suspicion)
			continue
		}
		suspicion.AgeMS = int(age.Milliseconds())
		listed = append(listed, suspicion)
	}
	return listed
}
