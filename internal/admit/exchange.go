package admit

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/peer"
	"github.com/plantainmux/plantainmux/internal/wait"
)

// fetchTimeout limits the call that fetches a snapshot of the usage of a peer.
const fetchTimeout = 2 * time.Second

// Run publishes the usage of this daemon to the others and divides the capacity again as
// their usage changes, until ctx is done.
func (g *Gate) Run(ctx context.Context) {
	var lastPublish time.Time
	for {
		now := time.Now()
		update, changed, schedule := g.rebalance(now)
		if changed || now.Sub(lastPublish) >= unchangedInterval {
			g.publishUpdate(update, changed && schedule.urgent())
			lastPublish = now
		}
		if !wait.For(ctx, schedule.period) {
			return
		}
	}
}

// rebalance divides the capacity, starts the requests that may run now, and returns the
// update to publish, whether it has changes, and the schedule of the next one.
func (g *Gate) rebalance(now time.Time) (usageUpdate, bool, usageSchedule) {
	g.mu.Lock()
	defer g.mu.Unlock()
	schedule := scheduleFor(len(g.state.peers.live(now)))
	update, changed := g.state.rebalance(now, schedule.room)
	for _, pool := range g.state.pools {
		g.startWaiting(pool, now)
	}
	return update, changed, schedule
}

func (g *Gate) publishUpdate(update usageUpdate, urgent bool) {
	publish := g.Mesh.PublishSoon
	if urgent {
		publish = g.Mesh.Publish
	}
	publish(peer.TopicUsage, peer.ScopeDataCentre, update)
}

// receiveUpdate processes a usage update of another daemon. If changes are missing, it
// fetches a snapshot in the background.
func (g *Gate) receiveUpdate(from fleet.DaemonID, body cbor.RawMessage) {
	var update usageUpdate
	if cbor.Unmarshal(body, &update) != nil {
		return
	}
	g.mu.Lock()
	needsSnapshot := g.state.applyUpdate(from, update, time.Now())
	g.mu.Unlock()
	if needsSnapshot {
		go g.fetchUsage(from)
	}
}

// fetchUsage fetches a snapshot of the usage of another daemon. An error is ignored: the
// digest of a later update triggers another call.
func (g *Gate) fetchUsage(from fleet.DaemonID) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	var snapshot Usage
	if g.Mesh.Call(ctx, from, peer.MethodUsage, nil, &snapshot) != nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.state.peers.setUsage(from, snapshot, time.Now())
}

// handleUsageCall returns a snapshot of the usage that this daemon has published.
func (g *Gate) handleUsageCall(context.Context, fleet.DaemonID, cbor.RawMessage) (any, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state.published.snapshot(), nil
}
