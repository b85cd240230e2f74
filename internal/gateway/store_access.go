package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/plantainmux/plantainmux/internal/gossip"
	"github.com/plantainmux/plantainmux/internal/keyed"
	"github.com/plantainmux/plantainmux/internal/ledger"
	"github.com/plantainmux/plantainmux/internal/rendezvous"
	"github.com/plantainmux/plantainmux/internal/wait"
)

const (
	askAgain  = 700 * time.Millisecond // between two questions to a store that is lost
	askSeldom = 5 * time.Second        // the same, of daemons that read through others until then
	askLimit  = 700 * time.Millisecond // of one: above an answer of a slow store
	askers    = 4                      // daemons that ask often: one may be cut off, or end
	askKey    = "ask"                  // by which they are chosen
)

// reader returns the daemon that reads the store for this data centre: any daemon
// of it would do, and all of them choose alike. It is nil if that is this one.
func (g *Gateway) reader() keyed.Log {
	name, address := g.gossip.Reader(time.Now(), g.mayRead())
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
		err := g.store.Put(call, gossip.Topic, own)
		cancel()
		if err == nil {
			return
		}
		g.logger.Warn("registration not written", "error", err)
		wait.For(ctx, registerPause)
	}
}

// owns reports whether this daemon plans the groups of a domain. The choice may
// be doubled for a moment: that costs orders, never a wrong grant. The readers
// plan: they know what the store holds first, and whether it answers.
func (g *Gateway) owns(domain string) bool {
	return rendezvous.Chosen(domain, *g.planners.Load(), 1, g.settings.Node)
}

// owners returns how many daemons plan any of the domains.
func (g *Gateway) owners(domains []string) int {
	owners := map[string]bool{}
	for _, domain := range domains {
		for _, owner := range rendezvous.Choose(domain, *g.planners.Load(), 1) {
			owners[owner] = true
		}
	}
	return len(owners)
}

// mayRead reports whether this daemon may read the store for others, and plan.
func (g *Gateway) mayRead() bool { return g.storeReached() && !g.stopping.Load() }

// storeReached reports whether the store answers this daemon itself, as far as it
// has asked.
func (g *Gateway) storeReached() bool {
	return g.entries.Booted() && !g.storeLost()
}

func (g *Gateway) storeLost() bool { return g.store.Lost(time.Now()) }

// askLostStore asks a store that gave no answer until it does: what is read through
// other daemons does not show that it is back. A few daemons ask often, so that one
// soon reads for all.
func (g *Gateway) askLostStore(ctx context.Context) {
	asked := time.Now()
	lost := false
	for wait.For(ctx, askAgain) {
		now := time.Now()
		lost = g.noteReach(lost)
		if !lost || now.Sub(asked) < askSeldom && !g.asksOften(now) {
			continue
		}
		asked = now
		call, cancel := context.WithTimeout(ctx, askLimit)
		_, _ = g.store.Read(call, ledger.Topic, g.ledger.Load().End, 0) // the store's reach notes the outcome
		cancel()
		lost = g.noteReach(lost)
	}
}

// noteReach logs a change of whether the store is lost, and returns whether it is.
func (g *Gateway) noteReach(before bool) bool {
	lost := g.storeLost()
	switch {
	case lost && !before:
		g.logger.Warn("store lost", "address", g.settings.Store, "entries_age_ms", g.entries.Age(time.Now()).Milliseconds())
	case before && !lost:
		g.logger.Info("store reached again", "address", g.settings.Store)
	}
	return lost
}

func (g *Gateway) asksOften(now time.Time) bool {
	return rendezvous.Chosen(askKey, g.gossip.Live(now), askers, g.settings.Node)
}
