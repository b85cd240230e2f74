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

// LinkPool is the links of a daemon to those through which it forwards, and to the daemon that Keep
// names. A daemon has one link in the pool, whatever it is used for. It implements Paths.
type LinkPool struct {
	links  Links
	choose ChoosePaths
	clock  func() time.Time

	mu     sync.Mutex
	byName map[string]*pooledLink
	kept   string // daemon whose link is kept while it is unused; empty: none
}

// NewLinkPool returns a pool without links. clock is the clock by which links are idle or have
// failed. It must be monotonic, since the wall clock may jump by seconds.
func NewLinkPool(links Links, choose ChoosePaths, clock func() time.Time) *LinkPool {
	return &LinkPool{links: links, choose: choose, clock: clock, byName: map[string]*pooledLink{}}
}

// Keep establishes the link to a daemon and keeps it, used or not, until another daemon is named,
// or none. The link to the previous one is then released as any other: once nothing is in progress
// on it and it has been unused for linkIdleTime.
func (p *LinkPool) Keep(daemon string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if previous := p.byName[p.kept]; previous != nil && p.kept != daemon {
		previous.usedAt = p.clock()
	}
	p.kept = daemon
	if daemon != "" {
		p.locked(daemon)
	}
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
	for _, daemon := range p.byLoad(p.choose(allowed), p.clock()) {
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
	p.locked(daemon).failedAt = p.clock()
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

// locked returns the link to a daemon and establishes it if there is none, or if the daemon has
// another address than before, as after a restart, and nothing is in progress on the link. The
// caller holds mu.
func (p *LinkPool) locked(daemon string) *pooledLink {
	link, address := p.byName[daemon], p.links.Address(daemon)
	switch {
	case link == nil:
		link = &pooledLink{release: p.links.Connect(daemon, address), address: address, usedAt: p.clock()}
		p.byName[daemon] = link
	case address != "" && address != link.address && p.unused(daemon, link):
		link.release()
		link.release, link.address = p.links.Connect(daemon, address), address
	}
	return link
}

// unused reports whether nothing is in progress on a link. The caller holds mu.
func (p *LinkPool) unused(daemon string, link *pooledLink) bool {
	return link.inFlight == 0 && p.links.Idle(daemon)
}

func (p *LinkPool) begin(daemon string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	link := p.locked(daemon)
	link.inFlight++
	link.usedAt = p.clock()
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
		link.failedAt = p.clock()
	}
}

// Sweep releases the links that have not been used for long.
func (p *LinkPool) Sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock()
	for daemon, link := range p.byName {
		if daemon != p.kept && now.Sub(link.usedAt) > linkIdleTime && p.unused(daemon, link) {
			link.release()
			delete(p.byName, daemon)
		}
	}
}
