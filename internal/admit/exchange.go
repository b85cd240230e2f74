package admit

import (
	"context"
	"reflect"
	"time"

	"github.com/plantainmux/plantainmux/internal/peer"
)

const (
	// periodPerDaemon keeps the bytes that a daemon sends independent of how many
	// daemons there are.
	periodPerDaemon = 10 * time.Millisecond
	minPeriod       = 100 * time.Millisecond
	// unchangedPeriod is how often a usage that did not change is sent.
	unchangedPeriod = time.Second
)

// Run tells the other daemons the own usage until ctx ends, and divides the
// capacity anew as theirs changes.
func (g *Gate) Run(ctx context.Context) {
	var last Usage
	var sent time.Time
	for {
		now := time.Now()
		usage, daemons := g.round(now)
		if now.Sub(sent) >= unchangedPeriod || !reflect.DeepEqual(usage, last) {
			g.Mesh.Publish(peer.TopicUsage, peer.ScopeDataCentre, usage)
			last, sent = usage, now
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(max(minPeriod, time.Duration(daemons)*periodPerDaemon)):
		}
	}
}

// round divides the capacity anew, starts what may run now, and returns the own
// usage and the number of daemons that are heard.
func (g *Gate) round(now time.Time) (Usage, int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	usage := g.state.round(now)
	for _, pool := range g.state.pools {
		g.startNext(pool, now)
	}
	return usage, len(g.state.peers.live(now))
}
