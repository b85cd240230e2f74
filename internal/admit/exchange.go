package admit

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/peer"
	"github.com/plantainmux/plantainmux/internal/wait"
)

// askTimeout limits a call for the whole usage of a peer.
const askTimeout = 2 * time.Second

// Run tells the other daemons the own usage until ctx ends, and divides the
// capacity anew as theirs changes.
func (g *Gate) Run(ctx context.Context) {
	var sent time.Time
	for {
		now := time.Now()
		update, changed, pace := g.round(now)
		if changed || now.Sub(sent) >= unchangedPeriod {
			g.tell(update, changed && pace.urgent())
			sent = now
		}
		if !wait.For(ctx, pace.period) {
			return
		}
	}
}

// round divides the capacity anew, starts what may run now, and returns what is
// to be told, whether it has changes, and when to tell more.
func (g *Gate) round(now time.Time) (usageUpdate, bool, usagePace) {
	g.mu.Lock()
	defer g.mu.Unlock()
	pace := paceFor(len(g.state.peers.live(now)))
	update, changed := g.state.round(now, pace.room)
	for _, pool := range g.state.pools {
		g.startNext(pool, now)
	}
	return update, changed, pace
}

func (g *Gate) tell(update usageUpdate, urgent bool) {
	publish := g.Mesh.PublishSoon
	if urgent {
		publish = g.Mesh.Publish
	}
	publish(peer.TopicUsage, peer.ScopeDataCentre, update)
}

// learn takes in an update of another daemon.
func (g *Gate) learn(from fleet.DaemonID, body cbor.RawMessage) {
	var update usageUpdate
	if cbor.Unmarshal(body, &update) != nil {
		return
	}
	g.mu.Lock()
	ask := g.state.learn(from, update, time.Now())
	g.mu.Unlock()
	if ask {
		go g.ask(from)
	}
}

// ask fetches the whole usage of another daemon. If that fails, a later update
// shows that it is still due.
func (g *Gate) ask(from fleet.DaemonID) {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	var whole Usage
	if g.Mesh.Call(ctx, from, peer.MethodUsage, nil, &whole) != nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.state.peers.learn(from, whole, time.Now())
}

// answerUsage returns the whole usage as the other daemons were told.
func (g *Gate) answerUsage(context.Context, fleet.DaemonID, cbor.RawMessage) (any, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state.sent.whole(), nil
}
