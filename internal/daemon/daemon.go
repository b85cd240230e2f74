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
	"github.com/plantainmux/plantainmux/internal/config"
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/group"
	"github.com/plantainmux/plantainmux/internal/logstream"
	"github.com/plantainmux/plantainmux/internal/metric"
	"github.com/plantainmux/plantainmux/internal/order"
	"github.com/plantainmux/plantainmux/internal/peer"
	"github.com/plantainmux/plantainmux/internal/reconcile"
	"github.com/plantainmux/plantainmux/internal/relay"
	"github.com/plantainmux/plantainmux/internal/settings"
	"github.com/plantainmux/plantainmux/internal/view"
	"github.com/plantainmux/plantainmux/internal/watch"
)

const (
	lostAfterBounds = 3 // report bounds of silence after which a member is lost
	loadLimit       = 5 * time.Minute
	orderLife       = 10 * time.Second
)

// Daemon is one running daemon.
type Daemon struct {
	id       fleet.DaemonID
	settings settings.Settings
	adapters Adapters
	logger   *slog.Logger
	metrics  *metric.Set
	pool     pond.Pool
	mesh     *peer.Network

	config *logstream.Stream[*config.Fold]
	groups *logstream.Stream[*group.Fold]
	orders [order.Slots]*logstream.Stream[*order.Fold]

	table  *watch.Table
	vms    *watch.VMs
	duty   *watch.Duty
	poller *watch.Poller
	sharer *watch.Sharer
	views  *view.Store
	loop   *reconcile.Loop
	caller *callerapi.Server
	admin  *adminapi.Server

	callerListener net.Listener
	adminListener  net.Listener
	peerListener   net.Listener

	draining atomic.Bool
	tasks    sync.WaitGroup
	killed   context.Context
	kill     context.CancelFunc
}

// New returns a daemon that has not started. It listens already, so that its
// addresses are known.
func New(s settings.Settings, adapters Adapters, logger *slog.Logger) (*Daemon, error) {
	id := fleet.DaemonID(uuid.NewString())
	killed, kill := context.WithCancel(context.Background())
	d := &Daemon{
		killed:   killed,
		kill:     kill,
		id:       id,
		settings: s,
		adapters: adapters,
		logger:   logger.With("daemon", id, "data_centre", s.DataCentre),
		metrics:  metric.NewSet(),
		pool:     pond.NewPool(s.Limits.Workers),
		views:    view.NewStore(),
	}
	if err := d.buildMesh(); err != nil {
		return nil, err
	}
	d.buildControl()
	d.buildRequestPath()
	if err := d.listen(); err != nil {
		return nil, err
	}
	return d, nil
}

func (d *Daemon) buildControl() {
	wake := func() { d.loop.Wake() }
	d.config = logstream.New(d.adapters.Log, config.StreamName, config.NewFold(), d.streamOptions(wake))
	d.groups = logstream.New(d.adapters.Log, group.StreamName(d.settings.DataCentre), group.NewFold(), d.streamOptions(wake))
	for slot := range d.orders {
		d.orders[slot] = logstream.New(d.adapters.Log, order.StreamName(order.Slot(slot)), order.NewFold(), d.streamOptions(func() {}))
	}
	d.vms = watch.NewVMs(d.adapters.VMs, d.settings.DataCentre, settings.Millis(d.settings.Timing.VMListMS), d.logger, wake)
	d.buildWatching(wake)
	d.loop = reconcile.NewLoop(reconcile.Dependencies{
		Self:       d.id,
		DataCentre: d.settings.DataCentre,
		Groups:     d.groups,
		Config:     d.currentConfig,
		Table:      d.table,
		VMs:        d.vms,
		Views:      d.views,
		Engine:     d.adapters.Engine,
		Pool:       d.pool,
		Live:       d.mesh.Live,
		Period:     settings.Millis(d.settings.Timing.ReconcileMS),
		Bounds:     d.bounds(),
		Logger:     d.logger,
	})
}

func (d *Daemon) streamOptions(onApply func()) logstream.Options {
	return logstream.Options{Writer: string(d.id), Logger: d.logger, OnApply: onApply}
}

func (d *Daemon) bounds() group.Bounds {
	reportBound := settings.Millis(d.settings.Timing.ReportBoundMS)
	return group.Bounds{
		ReportBound: reportBound,
		LostAfter:   lostAfterBounds * reportBound,
		LoadLimit:   loadLimit,
		OrderLife:   orderLife,
	}
}

func (d *Daemon) buildRequestPath() {
	d.caller = callerapi.New(callerapi.Dependencies{
		DataCentre:      d.settings.DataCentre,
		Views:           d.views,
		Gate:            admit.NewGate(d.capacity),
		Relay:           relay.New(d.views, d.adapters.Engine, d.table.Fail),
		Orders:          order.NewRunner(d.orders, d.adapters.Service),
		Service:         d.adapters.Service,
		Metrics:         d.metrics,
		Logger:          d.logger,
		BodyLimit:       d.settings.Limits.BodyBytes,
		DefaultDeadline: settings.Millis(d.settings.Timing.DefaultWaitMS),
	})
	d.admin = adminapi.New(d.settings.AdminToken, d.status, d.metrics)
}

// capacity returns the concurrent requests that the complete groups can run.
func (d *Daemon) capacity() int {
	total := 0
	for _, serving := range d.views.Load().Groups {
		total += serving.Capacity
	}
	return total
}

func (d *Daemon) currentConfig() config.Versioned {
	var current config.Versioned
	d.config.Read(func(fold *config.Fold) { current = fold.Current() })
	return current
}

func (d *Daemon) status() adminapi.Status {
	current := d.views.Load()
	return adminapi.Status{
		Daemon:        d.id,
		DataCentre:    d.settings.DataCentre,
		Ready:         current.Config.Version != 0 && d.groups.Booted(),
		Draining:      d.draining.Load(),
		Peers:         d.mesh.Live(),
		ConfigVersion: current.Config.Version,
		Groups:        current.Status,
	}
}
