package gateway

import (
	"context"
	"time"

	"github.com/plantainmux/plantainmux/internal/gossip"
	"github.com/plantainmux/plantainmux/internal/placement"
)

const (
	behindFor      = 200 * time.Millisecond // for which another daemon may have a newer configuration before it is fetched
	peerSuspicion  = time.Second            // for which a group that another daemon doubts is passed over
	openedLife     = 400 * time.Millisecond // for which the other daemons are told that a group has opened: several datagrams
	registerPause  = 300 * time.Millisecond
	firstPlanAfter = 500 * time.Millisecond // for the daemons to have heard of each other
)

func (g *Gateway) buildGossip() error {
	var err error
	g.gossip, err = gossip.New(gossip.Dependencies{
		Node: g.settings.Node, Zone: g.settings.DataCentre, Address: g.peerAddress(), Incarnation: g.started.UnixMilli(),
		Tell: g.tell, OnMessage: g.hear, Logger: g.logger,
	})
	if err != nil {
		return &ListenError{Address: g.peerAddress(), Err: err}
	}
	return nil
}

// tell returns what the other daemons are told.
func (g *Gateway) tell() gossip.Message {
	now := time.Now()
	message := gossip.Message{
		Draining: g.stopping.Load(), Traffic: g.traffic.Load(), Store: g.storeReached(),
		Doubts: g.doubts.list(now), Opened: g.opened(now), Crashes: g.killers.Own(now),
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

// hear takes what other daemons tell.
func (g *Gateway) hear(message gossip.Message) {
	now := time.Now()
	if message.Traffic {
		g.traffic.Store(true)
	}
	g.returns.Hear(message.Returning, now)
	g.noteEvents(message.Loads, now)
	for _, doubt := range message.Doubts {
		if meter := g.meters.Find(placement.GroupKey(doubt.Group, doubt.Epoch)); meter != nil && !doubt.Early {
			meter.Suspect(now, peerSuspicion)
		}
		g.keeper.Doubt(context.Background(), doubt.Group, doubt.Epoch, doubt.Fault)
	}
	for _, opened := range message.Opened {
		g.noteOpened(opened)
	}
	g.noteVersion(message.Config, now)
}

// noteEvents learns from another daemon which targets bring events.
func (g *Gateway) noteEvents(loads map[uint32]gossip.Load, now time.Time) {
	meters := *g.byHash.Load()
	for key, load := range loads {
		if meter := meters[key]; meter != nil && load.AgeMS >= 0 {
			meter.EventElsewhere(now.Add(-time.Duration(load.AgeMS) * time.Millisecond))
		}
	}
}

// noteVersion reads the configuration anew when another daemon has had a newer
// one for a while: the long poll may be on a connection that has gone silent.
func (g *Gateway) noteVersion(version int64, now time.Time) {
	current := g.catalogs.Load()
	if current == nil || version <= current.Version {
		return
	}
	g.behind.CompareAndSwap(0, now.UnixNano())
	if now.Sub(time.Unix(0, g.behind.Load())) > behindFor {
		g.behind.Store(now.UnixNano())
		g.configs.Poke(true)
	}
}

// noteOpened reads the entries anew when a group has opened elsewhere that this
// daemon does not use yet.
func (g *Gateway) noteOpened(opened gossip.Doubt) {
	if !g.uses(opened.Group, opened.Epoch) && g.polledFor.Swap(opened.Epoch) != opened.Epoch {
		g.entries.Poke(false)
	}
}

// uses reports whether requests may go to a group.
func (g *Gateway) uses(group string, epoch uint64) bool {
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

// opened returns the groups of the own domains that opened lately.
func (g *Gateway) opened(now time.Time) []gossip.Doubt {
	var opened []gossip.Doubt
	for _, record := range g.ledger.Load().Groups {
		if !g.owns(record.Domain) || !g.uses(record.Group, record.Epoch) {
			continue
		}
		key := gossip.Doubt{Group: record.Group, Epoch: record.Epoch}
		since, _ := g.openedAt.LoadOrStore(key, now)
		if now.Sub(since.(time.Time)) < openedLife {
			opened = append(opened, key)
		}
	}
	return opened
}

// doubt tells all daemons of a group that has fallen silent or named a missing
// member.
func (g *Gateway) doubt(target *placement.Target, fault string, early bool) {
	if target.Group == "" {
		return
	}
	g.doubts.add(gossip.Doubt{Group: target.Group, Epoch: target.Epoch, Fault: fault, Early: early}, time.Now())
	g.keeper.Doubt(context.Background(), target.Group, target.Epoch, fault)
}
