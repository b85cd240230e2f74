package daemon

import (
	"context"
	"time"

	"github.com/plantainmux/plantainmux/internal/config"
	"github.com/plantainmux/plantainmux/internal/logstream"
	"github.com/plantainmux/plantainmux/internal/monotonic"
	"github.com/plantainmux/plantainmux/internal/order"
	"github.com/plantainmux/plantainmux/internal/service"
)

const (
	// orderDrainTimeout is how long a graceful stop waits until the outcomes of
	// answered orders are recorded in the log.
	orderDrainTimeout = 30 * time.Second
	// orderSnapshotEvery is the number of records of a slot between two
	// snapshots.
	orderSnapshotEvery = 4096
)

// orders holds the components that call plain services.
type orders struct {
	clock   func() time.Time // timestamps the records of orders
	slots   *order.Follower
	runner  *order.Runner
	sweeper *order.Sweeper
	store   *order.Store
	caller  *service.Caller
	checker *service.Checker
}

func (d *Daemon) buildOrders() {
	health := service.NewHealth()
	metrics := order.NewMetrics(d.metrics)
	slots := order.NewFollower(d.killed, d.mesh, d.openSlot)
	runner := order.NewRunner(order.Dependencies{
		Context:         d.killed,
		Slots:           slots,
		Service:         d.adapters.Service,
		EndpointHealthy: health.Usable,
		Metrics:         metrics,
	})
	router := order.NewRouter(d.mesh, slots, runner)
	clock := monotonic.Clock()
	d.orders = orders{
		clock:   clock,
		slots:   slots,
		runner:  runner,
		sweeper: order.NewSweeper(d.id, slots, metrics, clock),
		store:   order.NewStore(slots),
		caller:  service.NewCaller(d.adapters.Service, router, health, d.settings.DataCentre, service.NewMetrics(d.metrics)),
		checker: service.NewChecker(d.adapters.Service, health, d.settings.DataCentre, d.pool, d.services),
	}
	d.metrics.Gauge("plantainmux_order_outcomes_pending", func() float64 { return float64(runner.Pending()) })
	d.metrics.Gauge("plantainmux_order_slots_followed", func() float64 { return float64(slots.Followed()) })
	d.metrics.Gauge("plantainmux_orders_unclear", func() float64 { return float64(d.orders.store.UnclearCount()) })
	d.metrics.Gauge("plantainmux_order_keys", func() float64 { return float64(d.orders.store.KeyCount()) })
}

func (d *Daemon) openSlot(slot order.Slot, writer string, onApply func()) *logstream.Stream[*order.Fold] {
	options := d.streamOptions(onApply)
	options.Writer = writer
	options.Now = d.orders.clock
	options.SnapshotEvery = orderSnapshotEvery
	options.SeparateSnapshotStream = true
	return logstream.New(d.adapters.Log, order.StreamName(slot), order.NewFold(), options)
}

func (d *Daemon) services() map[string]config.Service {
	return d.views.Load().Services
}

func (d *Daemon) startOrders(ctx context.Context) {
	d.tasks.Go(func() { d.orders.sweeper.Run(ctx) })
	d.tasks.Go(func() { d.orders.checker.Run(ctx) })
}

// drainOrders waits until the outcomes of finished orders are recorded in the
// log.
func (d *Daemon) drainOrders() {
	ctx, cancel := context.WithCancel(d.killed)
	defer cancel()
	go func() {
		pause(ctx, orderDrainTimeout)
		cancel()
	}()
	d.orders.runner.Drain(ctx)
}
