package order_test

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/plantainmux/plantainmux/internal/endpoint"
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/infra"
	"github.com/plantainmux/plantainmux/internal/logstream"
	"github.com/plantainmux/plantainmux/internal/metric"
	"github.com/plantainmux/plantainmux/internal/order"
	"github.com/plantainmux/plantainmux/internal/peer"
	"github.com/plantainmux/plantainmux/internal/refusal"
)

// Steps of an order at which a fault can be injected.
const (
	beforeClaim    = "before claim"
	afterClaim     = "after claim"
	readClaim      = "read claim"
	beforeDispatch = "before dispatch"
	afterDispatch  = "after dispatch"
	beforeOutcome  = "before outcome"
	afterOutcome   = "after outcome"
)

// daemon is the part of a daemon that runs orders, with a hook for fault injection
// at each step.
type daemon struct {
	id      fleet.DaemonID
	ctx     context.Context
	kill    context.CancelFunc
	mesh    *networkMesh
	router  *order.Router
	runner  *order.Runner
	slots   *order.Follower
	book    *order.Book
	sweeper *order.Sweeper
	clock   atomic.Int64 // offset of its clock in nanoseconds

	hidden, isolated, losesAnswers, appendsFail, readsFail, serviceDown atomic.Bool

	mu   sync.Mutex
	hook func(step string) // called at each step
}

func (f *fixture) startDaemon(id fleet.DaemonID) *daemon {
	d := &daemon{id: id}
	d.ctx, d.kill = context.WithCancel(context.Background())
	d.mesh = &networkMesh{Solo: peer.NewSolo(id), network: f.network, daemon: d}
	log := &hookedLog{Log: infra.NewHTTPLog(f.logServer.URL()), daemon: d}
	d.slots = order.NewFollower(d.ctx, d.mesh, func(slot order.Slot, writer string, onApply func()) *logstream.Stream[*order.Fold] {
		return logstream.New[*order.Fold](log, order.StreamName(slot), order.NewFold(), logstream.Options{
			Writer: writer, OnApply: onApply, Now: d.now, SnapshotEvery: f.snapshotEvery, SnapshotCheck: pollInterval, SnapshotsApart: true, Logger: slog.New(slog.DiscardHandler),
		})
	})
	metrics := order.NewMetrics(metric.NewSet())
	d.runner = order.NewRunner(order.Dependencies{
		Context:      d.ctx,
		Slots:        d.slots,
		Service:      &hookedService{Service: endpoint.NewHTTPService(), daemon: d},
		Usable:       func(string) bool { return !d.serviceDown.Load() },
		Metrics:      metrics,
		ClaimTimeout: f.claimTimeout,
		InProgress:   f.inProgress,
		Now:          d.now,
	})
	d.router = order.NewRouter(d.mesh, d.slots, d.runner)
	d.book = order.NewBook(d.slots)
	d.sweeper = order.NewSweeper(id, d.slots, metrics, d.now)
	f.network.mu.Lock()
	f.network.daemons[id] = d
	f.network.mu.Unlock()
	go d.sweeper.Run(d.ctx)
	return d
}

func (d *daemon) now() time.Time { return time.Now().Add(time.Duration(d.clock.Load())) }

func (d *daemon) isDead() bool { return d.ctx.Err() != nil }

func (d *daemon) onStep(hook func(step string)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.hook = hook
}

func (d *daemon) runHook(step string) {
	d.mu.Lock()
	hook := d.hook
	d.mu.Unlock()
	if hook != nil {
		hook(step)
	}
}

// place sends an order to this daemon. The result is unknown if the daemon is
// killed before it answers.
func (d *daemon) place(o order.Order) order.Result {
	ctx, cancel := context.WithTimeout(context.Background(), o.Timeout)
	defer cancel()
	result := d.router.Run(ctx, o)
	if d.isDead() {
		return order.Result{Refusal: refusal.NewUnknown(refusal.EndpointBroke, 0, "the daemon was killed")}
	}
	return result
}

// hookedLog is a daemon's log client with fault injection.
type hookedLog struct {
	infra.Log
	daemon *daemon
}

func (l *hookedLog) Append(ctx context.Context, stream string, records [][]byte) (infra.Offset, error) {
	kind := kindOf(records)
	l.daemon.runHook("before " + kind)
	if l.daemon.isDead() || l.daemon.appendsFail.Load() {
		return 0, &infra.UnavailableError{Operation: "append", Err: context.Canceled}
	}
	offset, err := l.Log.Append(context.WithoutCancel(ctx), stream, records)
	l.daemon.runHook("after " + kind)
	if l.daemon.isDead() {
		return 0, &infra.UnknownOutcomeError{Operation: "append", Err: context.Canceled}
	}
	return offset, err
}

func (l *hookedLog) Read(ctx context.Context, stream string, from infra.Offset, limit int, wait time.Duration) (infra.Page, error) {
	page, err := l.Log.Read(ctx, stream, from, limit, wait)
	if len(page.Records) > 0 {
		l.daemon.runHook("read " + kindOf([][]byte{page.Records[0].Data}))
	}
	if l.daemon.isDead() || l.daemon.readsFail.Load() {
		return infra.Page{}, &infra.UnavailableError{Operation: "read", Err: context.Canceled}
	}
	return page, err
}

func kindOf(records [][]byte) string {
	var entry logstream.Entry
	_ = logstream.Unmarshal(records[0], &entry)
	return string(entry.Kind)
}

// hookedService is a daemon's service client with fault injection. A call that its
// hook blocks is sent when the hook returns, as by a paused process.
type hookedService struct {
	endpoint.Service
	daemon *daemon
}

func (s *hookedService) Call(ctx context.Context, address string, call endpoint.ServiceCall) (endpoint.ServiceAnswer, error) {
	s.daemon.runHook(beforeDispatch)
	if s.daemon.isDead() {
		return endpoint.ServiceAnswer{}, &endpoint.BrokenError{Address: address, Err: context.Canceled}
	}
	answer, err := s.Service.Call(ctx, address, call)
	s.daemon.runHook(afterDispatch)
	return answer, err
}
