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

// Steps of an order at which a node can be struck.
const (
	beforeClaim    = "before claim"
	afterClaim     = "after claim"
	readClaim      = "read claim"
	beforeDispatch = "before dispatch"
	afterDispatch  = "after dispatch"
	beforeOutcome  = "before outcome"
	afterOutcome   = "after outcome"
)

// node is the part of a daemon that runs orders, with a strike at each step.
type node struct {
	id      fleet.DaemonID
	ctx     context.Context
	kill    context.CancelFunc
	mesh    *hubMesh
	router  *order.Router
	runner  *order.Runner
	slots   *order.Follower
	book    *order.Book
	sweeper *order.Sweeper
	clock   atomic.Int64 // offset of its clock, nanoseconds

	hidden, alone, losesAnswers, appendsCut, readsCut, serviceDown atomic.Bool

	mu     sync.Mutex
	strike func(step string) // called at each step
}

func (b *bed) startNode(id fleet.DaemonID) *node {
	n := &node{id: id}
	n.ctx, n.kill = context.WithCancel(context.Background())
	n.mesh = &hubMesh{Solo: peer.NewSolo(id), hub: b.hub, node: n}
	log := &struckLog{Log: infra.NewHTTPLog(b.logServer.URL()), node: n}
	n.slots = order.NewFollower(n.ctx, n.mesh, func(slot order.Slot, writer string, onApply func()) *logstream.Stream[*order.Fold] {
		return logstream.New[*order.Fold](log, order.StreamName(slot), order.NewFold(), logstream.Options{
			Writer: writer, OnApply: onApply, Now: n.now, SnapshotEvery: b.snapshotEvery, SnapshotCheck: pollOften, SnapshotsApart: true, Logger: slog.New(slog.DiscardHandler),
		})
	})
	metrics := order.NewMetrics(metric.NewSet())
	n.runner = order.NewRunner(order.Dependencies{
		Context:      n.ctx,
		Slots:        n.slots,
		Service:      &struckService{Service: endpoint.NewHTTPService(), node: n},
		Usable:       func(string) bool { return !n.serviceDown.Load() },
		Metrics:      metrics,
		ClaimTimeout: b.claimTimeout,
		InProgress:   b.inProgress,
		Now:          n.now,
	})
	n.router = order.NewRouter(n.mesh, n.slots, n.runner)
	n.book = order.NewBook(n.slots)
	n.sweeper = order.NewSweeper(id, n.slots, metrics, n.now)
	b.hub.mu.Lock()
	b.hub.nodes[id] = n
	b.hub.mu.Unlock()
	go n.sweeper.Run(n.ctx)
	return n
}

func (n *node) now() time.Time { return time.Now().Add(time.Duration(n.clock.Load())) }

func (n *node) isDead() bool { return n.ctx.Err() != nil }

func (n *node) onStep(strike func(step string)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.strike = strike
}

func (n *node) at(step string) {
	n.mu.Lock()
	strike := n.strike
	n.mu.Unlock()
	if strike != nil {
		strike(step)
	}
}

// place sends an order to this node. A caller of a node that dies learns
// nothing.
func (n *node) place(o order.Order) order.Result {
	ctx, cancel := context.WithTimeout(context.Background(), o.Timeout)
	defer cancel()
	result := n.router.Run(ctx, o)
	if n.isDead() {
		return order.Result{Refusal: refusal.NewUnknown(refusal.EndpointBroke, 0, "the node died")}
	}
	return result
}

// struckLog is the log as a node sees it.
type struckLog struct {
	infra.Log
	node *node
}

func (l *struckLog) Append(ctx context.Context, stream string, records [][]byte) (infra.Offset, error) {
	kind := kindOf(records)
	l.node.at("before " + kind)
	if l.node.isDead() || l.node.appendsCut.Load() {
		return 0, &infra.UnavailableError{Operation: "append", Err: context.Canceled}
	}
	offset, err := l.Log.Append(context.WithoutCancel(ctx), stream, records)
	l.node.at("after " + kind)
	if l.node.isDead() {
		return 0, &infra.UnknownOutcomeError{Operation: "append", Err: context.Canceled}
	}
	return offset, err
}

func (l *struckLog) Read(ctx context.Context, stream string, from infra.Offset, limit int, wait time.Duration) (infra.Page, error) {
	page, err := l.Log.Read(ctx, stream, from, limit, wait)
	if len(page.Records) > 0 {
		l.node.at("read " + kindOf([][]byte{page.Records[0].Data}))
	}
	if l.node.isDead() || l.node.readsCut.Load() {
		return infra.Page{}, &infra.UnavailableError{Operation: "read", Err: context.Canceled}
	}
	return page, err
}

func kindOf(records [][]byte) string {
	var entry logstream.Entry
	_ = logstream.Unmarshal(records[0], &entry)
	return string(entry.Kind)
}

// struckService is the service as a node sees it. A frozen call is sent when
// it thaws, as by a paused process.
type struckService struct {
	endpoint.Service
	node *node
}

func (s *struckService) Call(ctx context.Context, address string, call endpoint.ServiceCall) (endpoint.ServiceAnswer, error) {
	s.node.at(beforeDispatch)
	if s.node.isDead() {
		return endpoint.ServiceAnswer{}, &endpoint.BrokenError{Address: address, Err: context.Canceled}
	}
	answer, err := s.Service.Call(ctx, address, call)
	s.node.at(afterDispatch)
	return answer, err
}
