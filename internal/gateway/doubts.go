package gateway

import (
	"sync"
	"time"

	"github.com/plantainmux/plantainmux/internal/gossip"
)

// doubtLife is for how long a doubt is told to the other daemons: several
// datagrams, so that one may be lost.
const doubtLife = 500 * time.Millisecond

// doubts are the groups that this daemon holds for silent.
type doubts struct {
	mu    sync.Mutex
	until map[gossip.Doubt]time.Time
}

func (d *doubts) add(doubt gossip.Doubt, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.until == nil {
		d.until = map[gossip.Doubt]time.Time{}
	}
	d.until[doubt] = now.Add(doubtLife)
}

func (d *doubts) list(now time.Time) []gossip.Doubt {
	d.mu.Lock()
	defer d.mu.Unlock()
	var listed []gossip.Doubt
	for doubt, until := range d.until {
		if now.After(until) {
			delete(d.until, doubt)
			continue
		}
		listed = append(listed, doubt)
	}
	return listed
}
