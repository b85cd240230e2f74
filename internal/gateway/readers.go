package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/plantainmux/plantainmux/internal/gossip"
	"github.com/plantainmux/plantainmux/internal/keyed"
	"github.com/plantainmux/plantainmux/internal/rendezvous"
	"github.com/plantainmux/plantainmux/internal/wait"
)

// reader returns the daemon that reads the store for this data centre: any daemon
// of it would do, and all of them choose alike. It is nil if that is this one.
func (g *Gateway) reader() keyed.Log {
	name, address := g.gossip.Reader(time.Now(), g.storeReached())
	if name == "" || name == g.settings.Node {
		return nil
	}
	return g.peers.Through(address)
}

// anyWriter returns a daemon that reaches the store, nil if none is heard.
func (g *Gateway) anyWriter() keyed.Log {
	address := g.gossip.AnyWriter(time.Now(), rand.Float64())
	if address == "" {
		return nil
	}
	return g.peers.Through(address)
}

// register writes this daemon's address to the store, for the others.
func (g *Gateway) register(ctx context.Context) {
	own, err := g.gossip.Own()
	if err != nil {
		g.logger.Error("registration not encoded", "error", err)
		return
	}
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, callLimit)
		err := g.adapters.Store.Put(call, gossip.Topic, own)
		cancel()
		if err == nil {
			return
		}
		g.logger.Warn("registration not written", "error", err)
		wait.For(ctx, registerPause)
	}
}

// owns reports whether this daemon plans the groups of a domain. The choice may
// be doubled for a moment: that costs orders, never a wrong grant.
func (g *Gateway) owns(domain string) bool {
	return rendezvous.Chosen(domain, *g.writers.Load(), 1, g.settings.Node)
}

// owners returns how many daemons plan any of the domains.
func (g *Gateway) owners(domains []string) int {
	owners := map[string]bool{}
	for _, domain := range domains {
		for _, owner := range rendezvous.Choose(domain, *g.writers.Load(), 1) {
			owners[owner] = true
		}
	}
	return len(owners)
}

// storeReached reports whether this daemon itself reads the store.
func (g *Gateway) storeReached() bool {
	return g.entries.Booted() && g.entries.Failing(time.Now()) < storeLost
}
