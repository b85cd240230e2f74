package gateway

import (
	"context"
	"time"

	"github.com/plantainmux/plantainmux/internal/wait"
)

// When the whole fleet starts, each daemon would read the whole store for itself until it has heard
// of one that reads for its data centre. Instead they agree on the reader by their registrations
// alone, and the others wait for it: there is time before the first request. A daemon that starts
// later is needed at once and does not wait.
const (
	// readerPatience is how long a daemon waits for the records of the reader at the first start
	// of the fleet before it reads the store itself.
	readerPatience = 4 * time.Second
	// startupSettling is the time after that start in which the reader is chosen from the
	// registrations: a few times the delay of gossip in a large fleet longer. Daemons that have
	// heard of some others only would choose each other, and pass on what is too old to be used.
	startupSettling = readerPatience + 2*time.Second
	// registrationPeriod is how long a daemon waits until the others have registered: they start
	// within 0.3 s.
	registrationPeriod = 800 * time.Millisecond
)

// settling reports whether the whole fleet has just started, so that this daemon may not have
// heard of the others yet.
func (g *Gateway) settling(now time.Time) bool {
	return g.settings.First && now.Sub(g.started) < startupSettling
}

// currentReader returns the name and address of the daemon that reads the store for this data
// centre, which may be this one.
func (g *Gateway) currentReader(now time.Time) (name, address string) {
	if g.settling(now) && g.daemons.Synced() {
		return g.gossip.ExpectedReader()
	}
	return g.gossip.Reader(now, g.canReadForPeers())
}

// currentPlanners returns the daemons that plan groups.
func (g *Gateway) currentPlanners(now time.Time) []string {
	if g.settling(now) {
		return g.gossip.ExpectedReaders()
	}
	return g.gossip.Planners(now, g.canReadForPeers(), g.endpoints.Lost())
}

// awaitsReader reports whether the fleet has just started and this daemon waits for what another
// one reads from the store.
func (g *Gateway) awaitsReader() bool {
	now := time.Now()
	if !g.settings.First || now.Sub(g.started) > readerPatience {
		return false
	}
	if !g.daemons.Synced() {
		return true
	}
	name, _ := g.currentReader(now)
	return name != g.settings.Node
}

// followDaemons follows the registrations of the daemons. At the first start of the fleet it
// waits until they are complete.
func (g *Gateway) followDaemons(ctx context.Context) {
	if g.settings.First {
		wait.For(ctx, registrationPeriod)
	}
	g.daemons.Run(ctx)
}
