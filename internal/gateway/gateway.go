package gateway

import (
	"context"
	"log/slog"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/plantainmux/plantainmux/internal/awake"
	"github.com/plantainmux/plantainmux/internal/callerconn"
	"github.com/plantainmux/plantainmux/internal/catalog"
	"github.com/plantainmux/plantainmux/internal/delivery"
	"github.com/plantainmux/plantainmux/internal/demand"
	"github.com/plantainmux/plantainmux/internal/evacuation"
	"github.com/plantainmux/plantainmux/internal/exchange"
	"github.com/plantainmux/plantainmux/internal/formation"
	"github.com/plantainmux/plantainmux/internal/forward"
	"github.com/plantainmux/plantainmux/internal/gossip"
	"github.com/plantainmux/plantainmux/internal/heldbytes"
	"github.com/plantainmux/plantainmux/internal/keyed"
	"github.com/plantainmux/plantainmux/internal/ledger"
	"github.com/plantainmux/plantainmux/internal/peer"
	"github.com/plantainmux/plantainmux/internal/peerlog"
	"github.com/plantainmux/plantainmux/internal/placement"
	"github.com/plantainmux/plantainmux/internal/registry"
	"github.com/plantainmux/plantainmux/internal/suspect"
	"github.com/plantainmux/plantainmux/internal/targetstats"
)

const (
	longPollWait              = 4 * time.Second         // maximum wait of long polls on topics that change rarely
	configPollShare           = 0.5                     // share of Bounds.ConfigurationMS that a long poll may wait, as it may not be woken
	storeCallTimeout          = 1500 * time.Millisecond // of a store call, in addition to its long-poll wait
	registrationsPollInterval = 400 * time.Millisecond  // between reads of the daemons' registrations: many daemons start at once
	lapsedEntryGrace          = 2200 * time.Millisecond // for entries that expired during a store outage to be written again
	removedEntryGrace         = 700 * time.Millisecond  // for an entry removed right after an outage; with the time to read the removal it is within the drain time (2 s)
	answerBodyLimit           = 8 << 20                 // bytes of an answer that is not streamed
)

// Gateway is a daemon on a platform with a metadata store.
type Gateway struct {
	settings Settings
	adapters Adapters
	logger   *slog.Logger
	metrics  *metrics.Set
	started  time.Time

	catalogs        catalog.Store
	registry        *registry.Registry
	ledger          *ledger.Ledger
	meters          *targetstats.Meters
	holds           *targetstats.Holds
	view            atomic.Pointer[placement.View]
	viewMu          sync.Mutex // held while a view is built, so that none replaces one of later knowledge
	reconciler      *formation.Reconciler
	gossip          *gossip.Gossip
	exchanger       *exchange.Exchanger
	held            *heldbytes.Account // for exchanges
	endpoints       *forward.Router
	mesh            *peer.Network // links to the daemons through which this one forwards, and to those that forward through it
	meshStart       sync.Once
	paths           *forward.LinkPool
	dispatcher      *dispatcher
	dispatchClient  *dispatchClient
	forwardersNow   atomic.Pointer[forwarders] // daemons through which this one forwards while it is cut off
	forwardersAt    time.Time                  // when they were chosen; by the housekeeping alone
	addressOf       atomic.Pointer[map[string]string]
	dispatcherAt    atomic.Pointer[linkedDispatcher] // nil: none yet
	suspects        *suspect.Table
	refusedParts    map[uint64]int // as last logged; by the housekeeping alone
	failedRequests  *exchange.FailedRequests
	demand          demand.Counter                  // of this daemon
	fleetDemand     atomic.Pointer[[]demand.Report] // of all daemons, this one included
	smoothedDemand  *demand.Tracker
	demandKnown     atomic.Bool // this daemon hears from enough others to plan by their demand
	suspicions      suspicions
	limits          *targetstats.Limits
	evacuations     *evacuation.Set
	evacuatedInView atomic.Int32 // evacuated data centres that the view leaves out
	cold            *coldEndpoints
	registeredAt    atomic.Pointer[time.Time] // when the store first accepted this daemon's registration; nil: not yet

	store              *keyed.ReachabilityTracker
	storeCalls         *storeCalls
	entrySchedule      entrySchedule
	configs            *keyed.Follower
	entries            *keyed.Follower
	groups             *keyed.Follower
	daemons            *keyed.Follower
	peers              *peerlog.Client
	mirror             *keyed.Mirror                    // records that this daemon has read, served to its peers
	metersByHash       atomic.Pointer[map[uint32]meter] // meters by gossip.HashKey of their keys
	planners           atomic.Pointer[[]string]         // live daemons that plan groups
	live               atomic.Int32                     // live daemons
	configBehindSince  atomic.Int64                     // Unix nanoseconds since which a peer has reported a newer configuration; 0: none
	newestConfig       atomic.Pointer[toldConfig]       // nil: none
	configReadAt       atomic.Int64                     // Unix nanoseconds at which the store was last read for the configuration
	configRestored     atomic.Bool                      // the store has come back from an older copy at some time, so that the configuration may be an old one
	entriesPolledEpoch atomic.Uint64                    // epoch of the opened group for which the entries were last read early
	groupOpenedAt      sync.Map                         // time when a group was first seen open, by name and epoch
	trafficSeen        atomic.Bool                      // a request has arrived, at this daemon or a peer

	requested atomic.Bool // this daemon has had a request, of a plain service too

	registrationLost chan struct{} // the store has lost this daemon's registration

	callers           atomic.Pointer[callerconn.Listener] // nil: not listening yet
	callersLeft       *metrics.Counter                    // callers that had left when their request was read
	stood             awake.Standstills                   // of this process, by housekeep
	standstills       *metrics.Counter
	standstillSeconds *metrics.FloatCounter

	delivery      *delivery.Monitor
	inFlight      atomic.Int64
	stopping      atomic.Bool
	stopStartedAt atomic.Int64            // Unix nanoseconds; 0: not stopping
	exchanges     context.Context         // ends those in progress with the grace period
	endExchanges  context.CancelCauseFunc // ends exchanges
	tasks         sync.WaitGroup
}

// New returns a gateway that has not been started. It fails with a ListenError if
// the address for gossip is not available.
func New(s Settings, adapters Adapters, logger *slog.Logger) (*Gateway, error) {
	g := &Gateway{
		settings:       s,
		adapters:       adapters,
		logger:         logger.With("node", s.Node),
		metrics:        metrics.NewSet(),
		started:        time.Now(),
		stood:          awake.Standstills{Interval: housekeepingInterval},
		meters:         targetstats.NewMeters(),
		holds:          targetstats.NewHolds(),
		limits:         targetstats.NewLimits(),
		failedRequests: exchange.NewFailedRequests(),
		smoothedDemand: demand.NewTracker(),
		peers:          peerlog.NewClient(adapters.Delivery),
		mirror:         keyed.NewMirror(),

		registrationLost: make(chan struct{}, 1),
	}
	g.exchanges, g.endExchanges = context.WithCancelCause(context.Background())
	g.buildEvacuations()
	g.cold = newColdEndpoints(s, g.limits, g.evacuations.WithdrawnAt, g.sharingDaemons, g.logger, g.metrics)
	g.suspects = suspect.NewTable(suspect.Policy{ConfirmAfter: g.crashConfirmation, Standstills: &g.stood})
	g.storeCalls = newStoreCalls(g.metrics)
	g.store = keyed.NewReachabilityTracker(keyed.NewEraObserver(keyed.NewCountedLog(adapters.Store, g.storeCalls.count), g.refreshAll), &g.stood)
	g.entrySchedule.converging = func() bool { return g.reconciler.Converging() }
	g.live.Store(1)
	g.metersByHash.Store(&map[uint32]meter{})
	g.planners.Store(&[]string{s.Node})
	g.view.Store(&placement.View{})
	g.fleetDemand.Store(&[]demand.Report{})
	g.trafficSeen.Store(!s.First)
	g.forwardersNow.Store(&forwarders{})
	g.addressOf.Store(&map[string]string{})
	if err := g.buildEndpoints(); err != nil {
		return nil, err
	}
	if err := g.buildGossip(); err != nil {
		return nil, err
	}
	g.buildFollowers()
	g.registerAgeGauges()
	g.buildReconciler()
	g.buildDispatch()
	g.buildRequestPath()
	g.callersLeft = g.metrics.NewCounter("plantainmux_gateway_callers_left_total")
	g.standstills = g.metrics.NewCounter("plantainmux_standstills_total")
	g.standstillSeconds = g.metrics.NewFloatCounter("plantainmux_standstill_seconds_total")
	g.monitorDelivery()
	adapters.Notices.Subscribe(g.applyNotice)
	return g, nil
}

// Run runs the gateway until ctx ends, then stops it gracefully. It fails if an
// address cannot be listened on.
func (g *Gateway) Run(ctx context.Context) error {
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	servers, err := g.listen()
	if err != nil {
		return err
	}
	for _, run := range []func(context.Context){
		g.configs.Run, g.entries.Run, g.groups.Run, g.followDaemons, g.gossip.Run, g.register, g.plan, g.housekeep, g.runDispatch, g.probeUnreachableStore, g.logStoreCalls,
	} {
		g.tasks.Go(func() { run(background) })
	}
	g.logger.Info("daemon started", "callers", g.settings.Listen.Callers, "first", g.settings.First, "region", g.settings.Regions[g.settings.DataCentre])
	<-ctx.Done()
	g.shutDown(servers, g.stop())
	g.mesh.Close()
	cancel()
	g.tasks.Wait()
	g.logger.Info("daemon stopped", "ran_s", time.Since(g.started).Seconds())
	return nil
}

// presentDemand returns the demand of the fleet for a model over the last 2 s.
func (g *Gateway) presentDemand(service, model string) demand.Total {
	return demand.TotalOf(*g.fleetDemand.Load(), service, model)
}

func (g *Gateway) peerAddress() string {
	return net.JoinHostPort(g.settings.Listen.Host, strconv.Itoa(g.settings.Listen.FirstPort))
}

func (g *Gateway) liveDaemons() int { return int(g.live.Load()) }

// changed rebuilds the view that the request path reads, and wakes the reconciler.
func (g *Gateway) changed() {
	if g.rebuildView() && g.reconciler != nil {
		g.reconciler.Wake()
	}
}

// rebuildView rebuilds the view. It returns false if there is no configuration yet.
func (g *Gateway) rebuildView() bool {
	g.viewMu.Lock()
	defer g.viewMu.Unlock()
	current := g.catalogs.Load()
	if current == nil {
		return false
	}
	g.cold.observe(g.registry.Load(), current.Services, g.trafficSeen.Load() || g.requested.Load(), time.Now())
	evacuated := g.evacuations.Count()
	g.view.Store(placement.Build(current, g.registry.Load(), g.ledger.Load(), g.meters, placement.Announced{Holds: g.holds, Limits: g.limits}, g.evacuations.Evacuated))
	g.evacuatedInView.Store(int32(evacuated))
	return true
}

func (g *Gateway) applyConfig(batch keyed.Batch) {
	g.configReadAt.Store(batch.StoreReadAt.UnixNano())
	g.configRestored.Store(batch.Era > 0)
	g.applyEvacuations(batch)
	if batch.Empty() {
		return
	}
	for _, record := range batch.Records {
		if record.Key != g.adapters.Topics.ConfigKey || record.Value == nil {
			continue
		}
		next, err := g.adapters.DecodeConfig(record.Value)
		if err != nil {
			g.logger.Error("configuration rejected", "offset", record.Offset, "error", err)
			continue
		}
		if g.catalogs.Put(next) {
			g.configBehindSince.Store(0)
			g.logger.Info("configuration applied", "version", next.Version, "routes", next.RouteCount(), "offset", record.Offset)
		}
	}
	g.changed()
}
