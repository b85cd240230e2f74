package admit

import (
	"context"
	"reflect"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/plantainmux/plantainmux/internal/peer"
)

// Run tells the other daemons the own usage until ctx ends, and divides the
// capacity anew as theirs changes.
func (g *Gate) Run(ctx context.Context) {
	var last Usage
	var sent time.Time
	for {
		now := time.Now()
		usage, daemons := g.round(now)
		period := usagePeriod(sizeOf(usage), daemons)
		changed := !reflect.DeepEqual(usage, last)
		if changed || now.Sub(sent) >= unchangedPeriod {
			g.tell(usage, changed && period < peer.MaxWait)
			last, sent = usage, now
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(period):
		}
	}
}

// tell sends a usage, in a message of its own if it is urgent. One that is not
// is told no more often than once in their longest wait, so that the peers know it by the next
// time.
func (g *Gate) tell(usage Usage, urgent bool) {
	publish := g.Mesh.PublishSoon
	if urgent {
		publish = g.Mesh.Publish
	}
	publish(peer.TopicUsage, peer.ScopeDataCentre, usage)
}

// sizeOf returns the encoded size of a usage in bytes, or 0 when it cannot be
// encoded.
func sizeOf(usage Usage) int {
	data, err := cbor.Marshal(usage)
	if err != nil {
		return 0
	}
	return len(data)
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
