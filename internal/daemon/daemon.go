package daemon

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/google/uuid"

	"github.com/plantainmux/plantainmux/internal/adminapi"
	"github.com/plantainmux/plantainmux/internal/admit"
	"github.com/plantainmux/plantainmux/internal/callerapi"
	"github.com/plantainmux/plantainmux/internal/callerconn"
	"github.com/plantainmux/plantainmux/internal/config"
	"github.com/plantainmux/plantainmux/internal/delivery"
	"github.com/plantainmux/plantainmux/internal/evidence"
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/forward"
	"github.com/plantainmux/plantainmux/internal/group"
	"github.com/plantainmux/plantainmux/internal/groupsync"
	"github.com/plantainmux/plantainmux/internal/heldbytes"
	"github.com/plantainmux/plantainmux/internal/logstream"
	"github.com/plantainmux/plantainmux/internal/metric"
	"github.com/plantainmux/plantainmux/internal/peer"
	"github.com/plantainmux/plantainmux/internal/reconcile"
	"github.com/plantainmux/plantainmux/internal/relay"
	"github.com/plantainmux/plantainmux/internal/settings"
	"github.com/plantainmux/plantainmux/internal/spill"
	"github.com/plantainmux/plantainmux/internal/suspect"
	"github.com/plantainmux/plantainmux/internal/view"
	"github.com/plantainmux/plantainmux/internal/watch"
)

const (
	memberLostReportBounds = 3 // report bounds without a report after which a member is lost
	loadTimeout            = 5 * time.Minute
	orderTimeout           = 10 * time.Second // above the time limits of an order and its confirmation
	minDrainTime           = 3 * time.Second  // above the lag of load reports and the lifetime of a view
	maxDrainTime           = 15 * time.Minute // above the longest deadline of a request
)

// Daemon is one daemon with all its components.
type Daemon struct {
	id       fleet.DaemonID
	settings settings.Settings
	adapters Adapters
	logger   *slog.Logger
	metrics  *metric.Set
	pool     pond.Pool
	mesh     *peer.Network

	config      *logstream.Stream[*config.Fold]
	inForce     *config.Store
	distributor *config.Distributor
	groups      *logstream.Stream[*group.Fold]
	sync        *groupsync.Sync
	orders      orders

	table      *watch.Table
	vms        *watch.VMs
	assignment *watch.Assignment
	poller     *watch.Poller
	sharer     *watch.Sharer
	views      *view.Store

	evidence *evidence.Recorder
	digests  *evidence.Publisher
	leaving  *leavingVMs
	delivery *delivery.Monitor

	loop  *reconcile.Loop
	gate  *admit.Gate
	spill *spill.Server

	endpoints *forward.Router
	paths     *forward.LinkPool  // daemons through which this one forwards
	leaders   knownLeaders       // by the review of the endpoints alone
	held      *heldbytes.Account // for requests of callers
	caller    *callerapi.Server
	admin     *adminapi.Server

	callerListener *callerconn.Listener
	adminListener  net.Listener
	peerListener   net.Listener

	memory    int64 // that this process may use, in bytes; 0: not known
	tls       tlsConfigs
	inFlight  *inFlight
	draining  atomic.Bool
	readiness *readiness
	tasks     sync.WaitGroup
	killed    context.Context
	kill      context.CancelFunc
}

// New returns a daemon that is not running yet. Its listeners are already open,
// so that its addresses are known.
func New(s settings.Settings, adapters Adapters, logger *slog.Logger) (*Daemon, error) {
	id := fleet.DaemonID(uuid.NewString())
	killed, kill := context.WithCancel(context.Background())
	d := &Daemon{
		killed:   killed,
		kill:     kill,
		id:       id,
		settings: s,
		leaders:  knownLeaders{},
		adapters: adapters,
		logger:   logger.With("daemon", id, "data_centre", s.DataCentre),
		metrics:  metric.NewSet(),
		pool:     pond.NewPool(s.Limits.Workers),
		views:    view.NewStore(),
	}
	d.memory = memoryLimit(s.Limits.MemoryMB)
	d.held = heldbytes.NewAccount(int64(heldShare*float64(d.memory)), d.metrics.Metrics())
	var err error
	if d.tls, err = loadTLS(s.TLS); err != nil {
		return nil, err
	}
	if err := d.buildMesh(); err != nil {
		return nil, err
	}
	d.adapters.Traffic.register(d.metrics)
	d.delivery = delivery.NewMonitor(d.adapters.Delivery, d.metrics.Gauge, d.metrics.Counter, d.logger)
	d.buildEvidence()
	d.buildEndpoints()
	d.buildControl()
	d.buildOrders()
	d.buildRequestPath()
	if err := d.listen(); err != nil {
		return nil, err
	}
	return d, nil
}

func (d *Daemon) buildControl() {
	wake := func() { d.loop.Wake() }
	d.buildConfig(wake)
	d.groups = logstream.New(d.adapters.Log, group.StreamName(d.settings.DataCentre), group.NewFold(), d.streamOptions(wake))
	d.sync = groupsync.New(d.mesh, d.groups, d.metrics, d.logger)
	d.vms = watch.NewVMs(d.adapters.VMs, d.mesh, d.settings.DataCentre, settings.Millis(d.settings.Timing.VMListMS), d.logger, d.handleVMList)
	d.buildMonitoring(wake)
	d.readiness = newReadiness(d.table.NotReportedSince, settings.Millis(d.settings.Timing.ReportBoundMS))
	d.loop = reconcile.NewLoop(reconcile.Dependencies{
		Self:       d.id,
		DataCentre: d.settings.DataCentre,
		Groups:     d.groups,
		Config:     d.currentConfig,
		Table:      d.table,
		VMs:        d.vms,
		Views:      d.views,
		Engine:     d.adapters.Engine,
		LogReaders: d.mesh.LogReaders,
		Period:     settings.Millis(d.settings.Timing.ReconcileMS),
		Bounds:     d.timeLimits(),
		Metrics:    d.metrics,
		Logger:     d.logger,
	})
}

// handleVMList handles an updated list of VMs.
func (d *Daemon) handleVMList() {
	d.leaving.update(d.vms.All(), time.Now())
	d.loop.Wake()
}

func (d *Daemon) streamOptions(onApply func()) logstream.Options {
	return logstream.Options{Writer: string(d.id), Logger: d.logger, Metrics: d.metrics, SnapshotAge: settings.Millis(d.settings.Timing.SnapshotAgeMS), OnApply: onApply}
}

func (d *Daemon) timeLimits() group.TimeLimits {
	reportBound := settings.Millis(d.settings.Timing.ReportBoundMS)
	return group.TimeLimits{
		ReportBound:       reportBound,
		MemberLostTimeout: memberLostReportBounds * reportBound,
		BaseLoadTimeout:   loadTimeout,
		OrderTimeout:      orderTimeout,
		MinDrainTime:      minDrainTime,
		MaxDrainTime:      maxDrainTime,
	}
}

func (d *Daemon) buildRequestPath() {
	d.gate = d.newGate()
	requestRelay := d.newRelay()
	d.spill = spill.NewServer(d.mesh, d.gate, requestRelay)
	d.registerRequestGauges(requestRelay.Suspects.Table.Len)
	d.caller = callerapi.New(callerapi.Dependencies{
		DataCentre:      d.settings.DataCentre,
		Views:           d.views,
		Gate:            d.gate,
		Relay:           requestRelay,
		Services:        d.orders.caller,
		Metrics:         d.metrics,
		Evidence:        d.evidence,
		Logger:          d.logger,
		Held:            d.held,
		BodyLimit:       d.settings.Limits.BodyBytes,
		DefaultDeadline: settings.Millis(d.settings.Timing.DefaultWaitMS),
	})
	d.admin = adminapi.New(d.settings.AdminToken, d.status, d.metrics)
	d.admin.Orders = d.orders.store
}

func (d *Daemon) newRelay() *relay.Relay {
	return relay.New(relay.Dependencies{
		Views:        d.views,
		Engine:       d.adapters.Engine,
		Suspects:     suspect.NewTracker(d.mesh, d.settings.DataCentre),
		Metrics:      d.metrics,
		Remote:       spill.NewClient(d.mesh),
		Observer:     &observer{Recorder: d.evidence, leaving: d.leaving},
		MemberFailed: d.table.RecordRequestFailure,
	})
}

// ownPeerAddress returns the address at which the peers reach this daemon.
func (d *Daemon) ownPeerAddress() string {
	if d.adapters.PeerListener != nil {
		return d.adapters.PeerListener.Addr().String()
	}
	return d.settings.Listen.Peer
}

// newGate returns the admission gate for the requests of callers.
func (d *Daemon) newGate() *admit.Gate {
	declared := 1
	for _, other := range d.settings.Peers {
		if other.DataCentre == d.settings.DataCentre && other.Address != d.ownPeerAddress() {
			declared++
		}
	}
	return admit.NewGate(admit.Dependencies{
		Views:           d.views,
		Mesh:            d.mesh,
		DeclaredDaemons: declared,
		Bounds: admit.Bounds{
			QueueLength: d.settings.Limits.QueueLength,
			QueueWait:   settings.Millis(d.settings.Limits.QueueWaitMS),
		},
	})
}

func (d *Daemon) status() adminapi.Status {
	current := d.views.Load()
	return adminapi.Status{
		Daemon:         d.id,
		DataCentre:     d.settings.DataCentre,
		Ready:          d.readiness.check(current, time.Now()) && !d.callerListener.Full() && !d.callerListener.TakesNone(time.Now()),
		Draining:       d.draining.Load(),
		Peers:          d.mesh.Live(),
		Links:          d.mesh.Links(),
		DataCentres:    d.mesh.DataCentres(),
		Streams:        d.streamStatuses(),
		ConfigVersion:  current.Config.Version,
		ConfigSource:   string(d.inForce.Load().Source),
		ConfigTookMS:   d.inForce.Load().PropagationDelay().Milliseconds(),
		RefusedStreams: d.refusedStreams(),
		Models:         adminapi.Models(current, d.settings.DataCentre),
		Groups:         current.Status,
	}
}
