package gateway

import (
	"context"
	"time"

	"github.com/plantainmux/plantainmux/internal/gossip"
	"github.com/plantainmux/plantainmux/internal/placement"
)

const (
	configLagTolerance    = 200 * time.Millisecond // how long a peer may report a newer configuration before it is read again
	suspicionTTL          = time.Second            // how long a group that a peer suspects gets no requests
	openedNoticeTTL       = 400 * time.Millisecond // how long an opened group is sent to the other daemons: several datagrams
	registerRetryInterval = 300 * time.Millisecond
	firstPlanDelay        = 500 * time.Millisecond // until the daemons have exchanged gossip
)

func (g *Gateway) buildGossip() error {
	var err error
	g.gossip, err = gossip.New(gossip.Dependencies{
		Node: g.settings.Node, Zone: g.settings.DataCentre, Address: g.peerAddress(), Incarnation: g.started.UnixMilli(),
		Tell: g.gossipMessage, OnMessage: g.receiveGossip, Logger: g.logger,
	})
	if err != nil {
		return &ListenError{Address: g.peerAddress(), Err: err}
	}
	return nil
}

// gossipMessage returns the state that this daemon sends to the others.
func (g *Gateway) gossipMessage() gossip.Message {
	now := time.Now()
	message := gossip.Message{
		Draining: g.stopping.Load(), Traffic: g.trafficSeen.Load(), Store: g.storeReached(),
		Doubts: g.doubts.list(now), Opened: g.recentlyOpened(now), Crashes: g.killers.Own(now),
		Returning: g.returns.Told(now),
	}
	if current := g.catalogs.Load(); current != nil {
		message.Config = current.Version
	}
	g.meters.Each(func(key string, meter meter) {
		if count := meter.InFlight(); count > 0 {
			if message.Loads == nil {
				message.Loads = map[uint32]gossip.Load{}
			}
			message.Loads[gossip.HashKey(key)] = gossip.Load{Count: count, AgeMS: meter.EventAge(now), Reading: meter.OwnReading()}
		}
	})
	return message
}

// receiveGossip applies a message of another daemon.
func (g *Gateway) receiveGossip(message gossip.Message) {
	now := time.Now()
	if message.Traffic {
		g.trafficSeen.Store(true)
	}
	g.returns.Hear(message.Returning, now)
	g.recordRemoteEvents(message.Loads, now)
	for _, doubt := range message.Doubts {
		if meter := g.meters.Find(placement.GroupKey(doubt.Group, doubt.Epoch)); meter != nil && !doubt.Early {
			meter.Suspect(now, suspicionTTL)
		}
		g.keeper.Doubt(context.Background(), doubt.Group, doubt.Epoch, doubt.Fault)
	}
	for _, opened := range message.Opened {
		g.refreshForOpened(opened)
	}
	g.checkRemoteVersion(message.Config, now)
}

// recordRemoteEvents stores the ages of the last events that another daemon
// received from shared targets.
func (g *Gateway) recordRemoteEvents(loads map[uint32]gossip.Load, now time.Time) {
	meters := *g.metersByHash.Load()
	for key, load := range loads {
		if meter := meters[key]; meter != nil && load.AgeMS >= 0 {
			meter.EventElsewhere(now.Add(-time.Duration(load.AgeMS) * time.Millisecond))
		}
	}
}

// checkRemoteVersion reads the configuration again when another daemon has reported
// a newer one for longer than configLagTolerance: the long poll may be on a dead
// connection.
func (g *Gateway) checkRemoteVersion(version int64, now time.Time) {
	current := g.catalogs.Load()
	if current == nil || version <= current.Version {
		return
	}
	g.configBehindSince.CompareAndSwap(0, now.UnixNano())
	if now.Sub(time.Unix(0, g.configBehindSince.Load())) > configLagTolerance {
		g.configBehindSince.Store(now.UnixNano())
		g.configs.Poke(true)
	}
}

// refreshForOpened reads the entries again, once per epoch, when a peer reports an
// open group that this daemon does not route to yet.
func (g *Gateway) refreshForOpened(opened gossip.Doubt) {
	if !g.routesTo(opened.Group, opened.Epoch) && g.entriesPolledEpoch.Swap(opened.Epoch) != opened.Epoch {
		g.entries.Poke(false)
	}
}

// routesTo reports whether the view routes requests to a group.
func (g *Gateway) routesTo(group string, epoch uint64) bool {
	for _, models := range g.view.Load().Groups {
		for _, targets := range models {
			for _, target := range targets {
				if target.Group == group && target.Epoch == epoch {
					return true
				}
			}
		}
	}
	return false
}

// recentlyOpened returns the groups of this daemon's domains that opened within
// openedNoticeTTL.
func (g *Gateway) recentlyOpened(now time.Time) []gossip.Doubt {
	var opened []gossip.Doubt
	for _, record := range g.ledger.Load().Groups {
		if !g.owns(record.Domain) || !g.routesTo(record.Group, record.Epoch) {
			continue
		}
		key := gossip.Doubt{Group: record.Group, Epoch: record.Epoch}
		since, _ := g.groupOpenedAt.LoadOrStore(key, now)
		if now.Sub(since.(time.Time)) < openedNoticeTTL {
			opened = append(opened, key)
		}
	}
	return opened
}

// reportDoubt sends the other daemons a suspicion of a group that has stopped
// responding or reported a missing member, and passes it to this daemon's keeper.
func (g *Gateway) reportDoubt(target *placement.Target, fault string, early bool) {
	if target.Group == "" {
		return
	}
	g.doubts.add(gossip.Doubt{Group: target.Group, Epoch: target.Epoch, Fault: fault, Early: early}, time.Now())
	g.keeper.Doubt(context.Background(), target.Group, target.Epoch, fault)
}
