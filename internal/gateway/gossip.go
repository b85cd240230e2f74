package gateway

import (
	"context"
	"time"

	"github.com/plantainmux/plantainmux/internal/gossip"
	"github.com/plantainmux/plantainmux/internal/placement"
)

const (
	configLagTolerance    = 200 * time.Millisecond // how long a peer may report a newer configuration before the reader of a data centre reads it again
	listenerLagTolerance  = 900 * time.Millisecond // the same for the other daemons, which the reader tells at once; less than half of the time within which a version must be in force
	suspicionTTL          = time.Second            // how long a group that a peer suspects gets no requests
	openedNoticeTTL       = 400 * time.Millisecond // how long an opened group is sent to the other daemons: several datagrams
	registerRetryInterval = 300 * time.Millisecond
	firstPlanDelay        = 500 * time.Millisecond // until the daemons have exchanged gossip
)

func (g *Gateway) buildGossip() error {
	var err error
	g.gossip, err = gossip.New(gossip.Dependencies{
		Node: g.settings.Node, DataCentre: g.settings.DataCentre, Address: g.peerAddress(), Incarnation: g.started.UnixMilli(), CPUShare: g.settings.Limits.CPUShare,
		LocalMessage: g.gossipMessage, OnMessage: g.receiveGossip, Logger: g.logger,
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
		Draining: g.stopping.Load(), Traffic: g.trafficSeen.Load(), Store: g.storeReached(), CutOff: g.endpoints.Lost(),
		Suspicions: g.suspicions.list(now), NewGroups: g.recentlyOpened(now), Suspects: g.suspects.Reports(now), Limits: g.limits.Reports(now),
		FailedRequests: g.failedRequests.Recent(now), Evacuations: g.evacuations.Reports(now), Demand: g.demand.Reports(now), Departures: g.registry.Departures(now),
	}
	if current := g.catalogs.Load(); current != nil {
		message.Config = current.Version
	}
	silent := g.endpoints.Silent() // no load of the endpoints, for which other daemons would refuse requests
	g.meters.Each(func(key string, meter meter) {
		if count := meter.InFlight() - silent[key]; count > 0 {
			if message.Loads == nil {
				message.Loads = map[uint32]gossip.Load{}
			}
			message.Loads[gossip.HashKey(key)] = gossip.Load{Count: count, AgeMS: meter.EventAge(now), PrefillTokens: meter.LocalPrefillTokens()}
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
	g.failedRequests.RecordRemote(message.FailedRequests, now)
	g.suspects.Merge(message.Suspects, now)
	g.limits.Merge(message.Limits, now)
	g.mergeEvacuations(message.Evacuations, now)
	g.registry.LearnDepartures(message.Departures)
	g.recordRemoteEvents(message.Loads, now)
	for _, suspicion := range message.Suspicions {
		if meter := g.meters.Find(placement.GroupKey(suspicion.Group, suspicion.Epoch)); meter != nil && !suspicion.Tentative {
			meter.SuspectSince(now.Add(-time.Duration(suspicion.AgeMS)*time.Millisecond), now.Add(suspicionTTL))
			g.metrics.GetOrCreateCounter(`plantainmux_suspicions_received_total`).Inc()
		}
		g.reconciler.ProbeGroup(context.Background(), suspicion.Group, suspicion.Epoch, suspicion.MissingMember)
	}
	for _, opened := range message.NewGroups {
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
			meter.ObserveRemoteEvent(now.Add(-time.Duration(load.AgeMS) * time.Millisecond))
		}
	}
}

// checkRemoteVersion reads the configuration again when another daemon has reported
// a newer one for longer than configLagTolerance: the long poll may be on a dead
// connection.
func (g *Gateway) checkRemoteVersion(version int64, now time.Time) {
	newest := g.newestConfig.Load()
	news := newest == nil || version > newest.version
	if news {
		g.newestConfig.Store(&toldConfig{version: version, heardAt: now}) // by the goroutine that receives gossip alone
	}
	current := g.catalogs.Load()
	if current == nil || version <= current.Version {
		return
	}
	if news && now.Sub(g.started) < startupCatchUp {
		g.configs.Refresh(true)
	}
	g.configBehindSince.CompareAndSwap(0, now.UnixNano())
	if now.Sub(time.Unix(0, g.configBehindSince.Load())) > g.configLagTolerance() {
		g.configBehindSince.Store(now.UnixNano())
		g.configs.Refresh(true)
	}
}

// configLagTolerance returns how long another daemon may report a newer configuration before this
// one asks the store. If all daemons did so at once, each version would cost a call of each.
func (g *Gateway) configLagTolerance() time.Duration {
	if g.reader() == nil {
		return configLagTolerance
	}
	return listenerLagTolerance
}

// refreshForOpened reads the entries again, once per epoch, when a peer reports an
// open group that this daemon does not route to yet.
func (g *Gateway) refreshForOpened(opened gossip.Suspicion) {
	if !g.routesTo(opened.Group, opened.Epoch) && g.entriesPolledEpoch.Swap(opened.Epoch) != opened.Epoch {
		g.entries.Refresh(false)
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
func (g *Gateway) recentlyOpened(now time.Time) []gossip.Suspicion {
	var opened []gossip.Suspicion
	for _, record := range g.ledger.Load().Groups {
		if !g.owns(record.Domain) || !g.routesTo(record.Group, record.Epoch) {
			continue
		}
		key := gossip.Suspicion{Group: record.Group, Epoch: record.Epoch}
		since, _ := g.groupOpenedAt.LoadOrStore(key, now)
		if now.Sub(since.(time.Time)) < openedNoticeTTL {
			opened = append(opened, key)
		}
	}
	return opened
}

// reportSuspect sends the other daemons a suspicion of a group that has stopped
// responding or reported a missing member, and passes it to this daemon's reconciler.
func (g *Gateway) reportSuspect(target *placement.Target, missingMember string, tentative bool) {
	if target.Group == "" {
		return
	}
	g.suspicions.add(gossip.Suspicion{Group: target.Group, Epoch: target.Epoch, MissingMember: missingMember, Tentative: tentative}, time.Now())
	g.reconciler.ProbeGroup(context.Background(), target.Group, target.Epoch, missingMember)
}
