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
	probeInterval     = 700 * time.Millisecond // between probes of an unreachable store by a daemon that probes often
	rareProbeInterval = 5 * time.Second        // the same, by the other daemons, which read through peers meanwhile
	probeTimeout      = 700 * time.Millisecond // of a probe; more than a slow store takes to answer
	frequentProbers   = 4                      // daemons that probe often: several, as one may be partitioned or stop
	probeKey          = "ask"                  // rendezvous hash key that selects them
)

// reader returns the log of the daemon that reads the store for this data centre.
// Any daemon of it would do; all of them choose the same one. It returns nil if
// that is this daemon, or if there is none.
func (g *Gateway) reader() keyed.Log {
	name, address := g.currentReader(time.Now())
	if name == "" || name == g.settings.Node {
		return nil
	}
	return g.peers.LogVia(address)
}

// readerOfRegistrations returns the same, and nil until the registrations have been read once:
// the reader is chosen from them.
func (g *Gateway) readerOfRegistrations() keyed.Log {
	if !g.daemons.Synced() {
		return nil
	}
	return g.reader()
}

// randomStorePeer returns the log of a random peer that reaches the store, or nil if
// none is known.
func (g *Gateway) randomStorePeer() keyed.Log {
	address := g.gossip.RandomStorePeer(time.Now(), rand.Float64())
	if address == "" {
		return nil
	}
	return g.peers.LogVia(address)
}

// register writes this daemon's address to the store, and again each time that the store has
// lost it or has replaced it with an earlier one.
func (g *Gateway) register(ctx context.Context) {
	own, err := g.gossip.Registration()
	if err != nil {
		g.logger.Error("encoding the registration failed", "error", err)
		return
	}
	for ctx.Err() == nil {
		g.putRegistration(ctx, own)
		select {
		case <-ctx.Done():
		case <-g.registrationLost:
			g.logger.Warn("the store has lost this daemon's registration; writing it again")
		}
	}
}

// putRegistration retries until the store has accepted the registration.
func (g *Gateway) putRegistration(ctx context.Context, own keyed.Record) {
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, storeCallTimeout)
		err := g.store.Put(call, gossip.Topic, own)
		cancel()
		if err == nil {
			g.noteRegistered(time.Now())
			return
		}
		g.logger.Warn("writing the registration failed", "error", err)
		wait.For(ctx, registerRetryInterval)
	}
}

// owns reports whether this daemon plans the groups of a domain. Two daemons may
// briefly both own a domain; this causes extra orders, but never a wrong grant.
// Only readers of the store plan, as they see its records first and know whether
// it answers.
func (g *Gateway) owns(domain string) bool {
	return rendezvous.Chosen(domain, *g.planners.Load(), 1, g.settings.Node)
}

// owners returns the number of daemons that plan at least one of the domains.
func (g *Gateway) owners(domains []string) int {
	owners := map[string]bool{}
	for _, domain := range domains {
		for _, owner := range rendezvous.Choose(domain, *g.planners.Load(), 1) {
			owners[owner] = true
		}
	}
	return len(owners)
}

// canReadForPeers reports whether this daemon may read the store for its peers,
// and plan groups.
func (g *Gateway) canReadForPeers() bool { return g.storeReached() && !g.stopping.Load() }

// storeReached reports whether the store answers this daemon's own calls, as far
// as calls have been made.
func (g *Gateway) storeReached() bool {
	return g.entries.Synced() && !g.storeUnreachable()
}

func (g *Gateway) storeUnreachable() bool { return g.store.Unreachable(time.Now()) }

// probeUnreachableStore probes an unreachable store until it answers, since records
// read through other daemons do not show that this daemon reaches it again. Only a few
// daemons probe often; the first one that succeeds reads for all.
func (g *Gateway) probeUnreachableStore(ctx context.Context) {
	lastProbeAt := time.Now()
	unreachable := false
	for wait.For(ctx, probeInterval) {
		now := time.Now()
		unreachable = g.logStoreChange(unreachable)
		if !unreachable || now.Sub(lastProbeAt) < rareProbeInterval && !g.probesOften(now) {
			continue
		}
		lastProbeAt = now
		call, cancel := context.WithTimeout(ctx, probeTimeout)
		_, _ = g.store.Read(call, ledger.Topic, g.ledger.Load().End, 0) // g.store records the outcome
		cancel()
		unreachable = g.logStoreChange(unreachable)
	}
}

// logStoreChange logs when the store becomes unreachable or reachable, and returns
// whether it is unreachable.
func (g *Gateway) logStoreChange(before bool) bool {
	unreachable := g.storeUnreachable()
	switch {
	case unreachable && !before:
		g.logger.Warn("store unreachable", "address", g.settings.Store, "entries_age_ms", g.entries.Age(time.Now()).Milliseconds())
	case before && !unreachable:
		g.logger.Info("store reachable again", "address", g.settings.Store)
	}
	return unreachable
}

func (g *Gateway) probesOften(now time.Time) bool {
	return rendezvous.Chosen(probeKey, g.gossip.Live(now), frequentProbers, g.settings.Node)
}
