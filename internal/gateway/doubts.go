package gateway

import (
	"sync"
	"time"

	"github.com/plantainmux/plantainmux/internal/gossip"
)

// doubtTTL is how long a doubt is sent to the other daemons. It spans several
// datagrams, so that a lost one does not matter.
const doubtTTL = 500 * time.Millisecond

// doubts holds the groups that this daemon suspects to have failed, until each
// suspicion expires.
type doubts struct {
	mu        sync.Mutex
	expiresAt map[gossip.Doubt]time.Time
}

func (d *doubts) add(doubt gossip.Doubt, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.expiresAt == nil {
		d.expiresAt = map[gossip.Doubt]time.Time{}
	}
	d.expiresAt[doubt] = now.Add(doubtTTL)
}

func (d *doubts) list(now time.Time) []gossip.Doubt {
	d.mu.Lock()
	defer d.mu.Unlock()
	var listed []gossip.Doubt
	for doubt, expiresAt := range d.expiresAt {
		if now.After(expiresAt) {
			delete(d.expiresAt, doubt)
			continue
		}
		listed = append(listed, doubt)
	}
	return listed
}
