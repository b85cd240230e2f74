package forward

import (
	"context"
	"sync"
	"time"

	"github.com/plantainmux/plantainmux/internal/locality"
)

const (
	linkTimeout  = 150 * time.Millisecond // for a link to a daemon to be established
	pathBackoff  = 500 * time.Millisecond // after the way through a daemon failed
	linkIdleTime = 30 * time.Second       // after which an unused link is released
)

// LinkPool is the links of a daemon to those through which it forwards. It implements Paths.
type LinkPool struct {
	links  Links
	choose ChoosePaths

	mu     sync.Mutex
	byName map[string]*pooledLink
}

// NewLinkPool returns a pool without links.
func NewLinkPool(links Links, choose ChoosePaths) *LinkPool {
	return &LinkPool{links: links, choose: choose, byName: map[string]*pooledLink{}}
}

// Prepare establishes the links through which exchanges without restriction would be forwarded now.
func (p *LinkPool) Prepare() {
	for _, daemon := range p.choose(nil) {
		p.get(daemon)
	}
}

// Any implements Paths.
func (p *LinkPool) Any(allowed *locality.Allowed) bool { return len(p.choose(allowed)) > 0 }

// Pick implements Paths. It returns the daemon with the fewest exchanges of this one in progress
// among those to which there is a link and that did not fail lately.
func (p *LinkPool) Pick(ctx context.Context, allowed *locality.Allowed) (string, bool) {
	for _, daemon := range p.byLoad(p.choose(allowed), time.Now()) {
		if p.links.Await(ctx, daemon, linkTimeout) {
			p.begin(daemon)
			return daemon, true
		}
		p.fail(daemon)
	}
	return "", false
}

func (p *LinkPool) fail(daemon string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.locked(daemon).failedAt = time.Now()
}

// byLoad orders daemons by the exchanges of this one in progress. Those that failed lately come
// last.
func (p *LinkPool) byLoad(daemons []string, now time.Time) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return sortedBy(daemons, func(daemon string) int {
		link := p.locked(daemon)
		if now.Sub(link.failedAt) < pathBackoff {
			return maxForwarded + link.inFlight
		}
		return link.inFlight
	})
}

func (p *LinkPool) get(daemon string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.locked(daemon)
}

// locked returns the link to a daemon and establishes it if there is none. The caller holds mu.
func (p *LinkPool) locked(daemon string) *pooledLink {
	link := p.byName[daemon]
	if link == nil {
		link = &pooledLink{release: p.links.Connect(daemon), usedAt: time.Now()}
		p.byName[daemon] = link
	}
	return link
}

func (p *LinkPool) begin(daemon string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	link := p.locked(daemon)
	link.inFlight++
	link.usedAt = time.Now()
}

// Release implements Paths.
func (p *LinkPool) Release(daemon string, failed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	link := p.byName[daemon]
	if link == nil {
		return
	}
	link.inFlight = max(link.inFlight-1, 0)
	if failed {
		link.failedAt = time.Now()
	}
}

// Sweep releases the links that have not been used for long.
func (p *LinkPool) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for daemon, link := range p.byName {
		if link.inFlight == 0 && now.Sub(link.usedAt) > linkIdleTime && p.links.Idle(daemon) {
			link.release()
			delete(p.byName, daemon)
		}
	}
}
