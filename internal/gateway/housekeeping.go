package gateway

import (
	"context"
	"time"

	"github.com/plantainmux/plantainmux/internal/gossip"
	"github.com/plantainmux/plantainmux/internal/rhythm"
	"github.com/plantainmux/plantainmux/internal/wait"
)

const (
	housekeepingInterval = 100 * time.Millisecond
	sweepRounds          = 10 // rounds of housekeeping between sweeps of idle connections
)

type meter = *rhythm.Meter

// housekeep periodically applies the gossip of the other daemons and removes
// expired entries, idle connections and unused meters.
func (g *Gateway) housekeep(ctx context.Context) {
	for round := 0; wait.For(ctx, housekeepingInterval); round++ {
		now := time.Now()
		g.applyGossip(now)
		g.registry.Expire(now)
		if round%sweepRounds == 0 {
			g.adapters.Sweep(now)
			g.pruneMeters()
			g.returns.Forget(now)
		}
	}
}

func (g *Gateway) applyGossip(now time.Time) {
	live := g.gossip.Live(now)
	g.live.Store(int32(len(live)))
	planners := g.gossip.Readers(now, g.canReadForPeers())
	g.planners.Store(&planners)
	loads := g.gossip.Loads(now)
	delay := g.gossip.Delay()
	metersByHash := map[uint32]meter{}
	g.meters.Each(func(key string, meter meter) {
		hash := gossip.HashKey(key)
		meter.SetElsewhere(loads[hash].Count)
		meter.SetReadingElsewhere(loads[hash].Reading)
		meter.SetDelay(delay)
		metersByHash[hash] = meter
	})
	g.metersByHash.Store(&metersByHash)
	g.killers.SetOther(g.gossip.Crashes(now), now)
}

// pruneMeters removes the meters of targets that are no longer in the view.
func (g *Gateway) pruneMeters() {
	inUse := map[string]bool{}
	view := g.view.Load()
	for _, targets := range view.Plain {
		for _, target := range targets {
			inUse[target.Key] = true
		}
	}
	for _, models := range view.Groups {
		for _, targets := range models {
			for _, target := range targets {
				inUse[target.Key] = true
			}
		}
	}
	g.meters.Keep(inUse)
}

// plan runs the keeper. It starts after boot and firstPlanDelay, by when the
// daemons have exchanged gossip.
func (g *Gateway) plan(ctx context.Context) {
	for !g.booted() || time.Since(g.started) < firstPlanDelay {
		if !wait.For(ctx, housekeepingInterval/2) {
			return
		}
	}
	g.keeper.Run(ctx)
}

func (g *Gateway) currentEntriesInterval() time.Duration {
	if g.keeper.Unsettled() {
		return entriesPollIntervalPending
	}
	return entriesPollInterval
}

// booted reports whether configuration, entries and groups have been read once.
func (g *Gateway) booted() bool {
	return g.catalogs.Load() != nil && g.entries.Booted() && g.groups.Booted()
}
