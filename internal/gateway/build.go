package gateway

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/callerconn"
	"github.com/plantainmux/plantainmux/internal/exchange"
	"github.com/plantainmux/plantainmux/internal/formation"
	"github.com/plantainmux/plantainmux/internal/gossip"
	"github.com/plantainmux/plantainmux/internal/keyed"
	"github.com/plantainmux/plantainmux/internal/ledger"
	"github.com/plantainmux/plantainmux/internal/registry"
)

func (g *Gateway) buildFollowers() {
	log := &keyed.Fallback{
		Log: g.store, Reader: g.reader, Peer: g.randomStorePeer,
		StoreUnreachable: func() bool { return g.storeUnreachable() || g.awaitsReader() },
	}
	registrations := &keyed.Fallback{Log: g.store, Reader: g.readerOfRegistrations, Peer: g.randomStorePeer, StoreUnreachable: g.storeUnreachable}
	g.registry = registry.New(g.adapters.DecodeEntry, registry.GracePeriods{Lapsed: lapsedEntryGrace, Removed: removedEntryGrace, Standstills: &g.stood}, g.logger, g.changed)
	g.ledger = ledger.New(g.store, g.logger, g.changed)
	longPollPacing := keyed.LongPoll(longPollWait, storeCallTimeout)
	configPacing := keyed.LongPoll(g.settings.Bounds.configWait(), storeCallTimeout)
	registrationsPacing := keyed.Pacing{Wait: longPollPacing.Wait, Timeout: longPollPacing.Timeout, Next: func(previous time.Time) time.Time { return previous.Add(registrationsPollInterval) }}
	entriesPacing := keyed.Pacing{Wait: 0, Timeout: storeCallTimeout, Next: g.entrySchedule.next}
	follow := func(topic string, pacing keyed.Pacing, apply func(keyed.Batch)) *keyed.Follower {
		return keyed.NewFollower(log, topic, pacing, g.mirror.Follow(topic, pacing, nil, apply), g.logger)
	}
	g.configs = follow(g.adapters.Topics.Operators, configPacing, g.applyConfig)
	applyEntries := g.mirror.Follow(g.adapters.Topics.Endpoints, entriesPacing, registry.NewEntryFilter(g.adapters.DecodeEntry), g.registry.Apply)
	g.entries = keyed.NewFollower(log, g.adapters.Topics.Endpoints, entriesPacing, applyEntries, g.logger)
	g.groups = follow(ledger.Topic, configPacing, g.ledger.Apply)
	applyRegistrations := g.mirror.Follow(gossip.Topic, registrationsPacing, nil, g.applyRegistrations)
	g.daemons = keyed.NewFollower(registrations, gossip.Topic, registrationsPacing, applyRegistrations, g.logger)
}

func (g *Gateway) buildReconciler() {
	g.reconciler = formation.NewReconciler(formation.Dependencies{
		Catalog:       g.catalogs.Load,
		Endpoints:     g.registry.Load,
		Ledger:        g.ledger,
		Engines:       g.adapters.Engines,
		Owns:          g.owns,
		BeforeTraffic: func() bool { return !g.trafficSeen.Load() },
		Owners:        g.owners,
		LoadLimit:     g.settings.Bounds.loadLimit(),
		CanWrite:      g.storeReached,
		Demand:        g.plannedDemand,
		PresentDemand: g.presentDemand,
		Evacuations:   g.evacuations.InForce,
		InProgress:    g.requestsInProgress,
		ServedSince:   g.servedSince,
		NewsDelay:     g.gossip.Delay,
		Shifted:       g.countShift,
		ExpectChange:  g.expectEntries,
		Standstills:   &g.stood,
		Logger:        g.logger,
	})
}

func (g *Gateway) buildRequestPath() {
	g.held = g.newHeldBytes()
	g.exchanger = exchange.New(exchange.Dependencies{
		CallerLeft:     callerconn.Left,
		Held:           g.held,
		View:           g.view.Load,
		Transport:      g.adapters.Transport(g.endpoints),
		DataCentre:     g.settings.DataCentre,
		Regions:        g.settings.Regions,
		Daemons:        g.liveDaemons,
		GossipDelay:    g.gossip.Delay,
		Suspects:       g.suspects,
		OwnsTrial:      g.ownsTrial,
		Counter:        &g.demand,
		Demand:         g.modelDemand,
		Dispatch:       g.dispatch,
		FailedRequests: g.failedRequests,
		Metrics:        exchange.NewMetrics(g.metrics),
		Logger:         g.logger,
		Retries: exchange.RetryBounds{
			Share:  g.settings.Bounds.RetryShare,
			Slack:  g.settings.Bounds.RetrySlack,
			Window: time.Duration(g.settings.Bounds.RetryWindowS * float64(time.Second)),
		},
		BodyLimit:     answerBodyLimit,
		Forwards:      g.endpoints.Forwards,
		ReportSuspect: g.reportSuspect,
	})
}
