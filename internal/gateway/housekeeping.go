package gateway

import (
	"context"
	"time"

	"github.com/plantainmux/plantainmux/internal/gossip"
	"github.com/plantainmux/plantainmux/internal/rhythm"
	"github.com/plantainmux/plantainmux/internal/wait"
)

const (
	houseEvery = 100 * time.Millisecond
	sweepEvery = 10 // rounds of housekeeping between two sweeps of idle connections
)

type meter = *rhythm.Meter

// housekeep takes in what the other daemons tell and lets go of what is old.
func (g *Gateway) housekeep(ctx context.Context) {
	for round := 0; wait.For(ctx, houseEvery); round++ {
		now := time.Now()
		g.takePeers(now)
		g.registry.Expire(now)
		if round%sweepEvery == 0 {
			g.adapters.Sweep(now)
			g.dropMeters()
			g.returns.Forget(now)
		}
	}
}

func (g *Gateway) takePeers(now time.Time) {
	live := g.gossip.Live(now)
	g.live.Store(int32(len(live)))
	planners := g.gossip.Readers(now, g.mayRead())
	g.planners.Store(&planners)
	loads := g.gossip.Loads(now)
	delay := g.gossip.Delay()
	byHash := map[uint32]meter{}
	g.meters.Each(func(key string, meter meter) {
		hash := gossip.HashKey(key)
		meter.SetElsewhere(loads[hash].Count)
		meter.SetReadingElsewhere(loads[hash].Reading)
		meter.SetDelay(delay)
		byHash[hash] = meter
	})
	g.byHash.Store(&byHash)
	g.killers.SetOther(g.gossip.Crashes(now), now)
}

// dropMeters forgets the targets that no view names any more.
func (g *Gateway) dropMeters() {
	kept := map[string]bool{}
	view := g.view.Load()
	for _, targets := range view.Plain {
		for _, target := range targets {
			kept[target.Key] = true
		}
	}
	for _, models := range view.Groups {
		for _, targets := range models {
			for _, target := range targets {
				kept[target.Key] = true
			}
		}
	}
	g.meters.Keep(kept)
}

// plan keeps the groups once the daemons have heard of each other.
func (g *Gateway) plan(ctx context.Context) {
	for !g.booted() || time.Since(g.started) < firstPlanAfter {
		if !wait.For(ctx, houseEvery/2) {
			return
		}
	}
	g.keeper.Run(ctx)
}

func (g *Gateway) entriesPause() time.Duration {
	if g.keeper.Unsettled() {
		return pendingPause
	}
	return steadyPause
}

// booted reports whether everything that a request needs has been read once.
func (g *Gateway) booted() bool {
	return g.catalogs.Load() != nil && g.entries.Booted() && g.groups.Booted()
}
