package gateway

import (
	"context"
	"time"

	"github.com/plantainmux/plantainmux/internal/evacuation"
	"github.com/plantainmux/plantainmux/internal/gossip"
	"github.com/plantainmux/plantainmux/internal/placement"
	"github.com/plantainmux/plantainmux/internal/targetstats"
	"github.com/plantainmux/plantainmux/internal/wait"
)

const (
	housekeepingInterval = 100 * time.Millisecond
	sweepRounds          = 10 // rounds of housekeeping between sweeps of idle connections
)

type meter = *targetstats.Meter

// housekeep periodically applies the gossip of the other daemons and removes
// expired entries, idle connections and unused meters.
func (g *Gateway) housekeep(ctx context.Context) {
	for round := 0; wait.For(ctx, housekeepingInterval); round++ {
		now := time.Now()
		g.reportStandstill(g.stood.Look(now))
		g.applyGossip(now)
		g.observeDemand(now)
		g.updateForwarders(now)
		g.endpoints.Review(now)
		g.registry.Expire(now)
		g.withdrawFromUnused()
		g.settleEvacuations(now.Add(-g.stood.Stood(now.Add(-evacuation.HoldPeriod), now))) // what operators write again may wait unread
		g.cold.review(now)
		if round%sweepRounds == 0 {
			g.adapters.Sweep(now)
			g.expireConnections(now)
			g.paths.Sweep()
			g.pruneMeters()
			g.updateDemandGauges()
			g.failedRequests.Prune(now)
			g.suspects.Prune(now)
		}
	}
}

// reportStandstill logs and counts that the process stood still for a time, if it did.
func (g *Gateway) reportStandstill(stood time.Duration) {
	if stood == 0 {
		return
	}
	g.standstills.Inc()
	g.standstillSeconds.Add(stood.Seconds())
	g.logger.Warn("process stood still", "stood_ms", stood.Milliseconds(), "in_flight", g.inFlight.Load())
}

func (g *Gateway) applyGossip(now time.Time) {
	live := g.gossip.Live(now)
	g.live.Store(int32(len(live)))
	planners := g.currentPlanners(now)
	g.planners.Store(&planners)
	loads := g.gossip.Loads(now)
	delay := g.gossip.Delay()
	metersByHash := map[uint32]meter{}
	g.meters.Each(func(key string, meter meter) {
		hash := gossip.HashKey(key)
		meter.SetRemoteInFlight(loads[hash].Count)
		meter.SetRemotePrefillTokens(loads[hash].PrefillTokens)
		meter.SetGossipDelay(delay)
		metersByHash[hash] = meter
	})
	g.metersByHash.Store(&metersByHash)
	g.reviewCrashes(now)
	if g.limits.Any() {
		g.limits.Share(g.dutyDaemons(now), g.settings.Node, now)
	}
}

// pruneMeters removes the meters, holds and limits of targets that are no longer in the view. Those of
// evacuated data centres stay for the return.
func (g *Gateway) pruneMeters() {
	inUse := map[string]bool{}
	held := map[*targetstats.Hold]bool{}
	limited := map[*targetstats.Limit]bool{}
	retain := func(target *placement.Target) {
		inUse[target.Key] = true
		held[target.Hold] = true
		limited[target.Limit] = true
	}
	view := g.view.Load()
	view.Each(retain)
	if view.Evacuated != nil {
		view.Evacuated.Each(retain)
	}
	g.meters.Retain(inUse)
	g.holds.Retain(held, time.Now())
	g.limits.Retain(limited, time.Now())
}

// plan runs the reconciler. It starts after boot and firstPlanDelay, by when the
// daemons have exchanged gossip.
func (g *Gateway) plan(ctx context.Context) {
	for !g.synced() || time.Since(g.started) < firstPlanDelay {
		if !wait.For(ctx, housekeepingInterval/2) {
			return
		}
	}
	g.reconciler.Run(ctx)
}

// expectEntries has the entries read when an order takes effect after a duration.
func (g *Gateway) expectEntries(after time.Duration) {
	if g.entrySchedule.expect(time.Now().Add(after)) {
		g.entries.Reschedule()
	}
}

// synced reports whether configuration, entries and groups have been read once.
func (g *Gateway) synced() bool {
	return g.catalogs.Load() != nil && g.entries.Synced() && g.groups.Synced()
}
