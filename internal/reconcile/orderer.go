package reconcile

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/alitto/pond/v2"

	"github.com/plantainmux/plantainmux/internal/endpoint"
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/group"
)

const (
	// confirmBound is how old a daemon's view of the stream may be when it sends
	// an order.
	confirmBound = 500 * time.Millisecond
	orderWorkers = 64
)

// orderer sends orders to members, one at a time to each.
//
// An order is sent only while the fold that asks for it was confirmed within
// confirmBound. An engine that checks fencing numbers refuses whatever comes too
// late. For one that does not, a released VM rests for longer than an order
// lives. What this cannot exclude is a daemon that is paused between its last
// check and the write to the socket for longer than that rest, or a network that
// holds a packet so long: such an order is obeyed. The member's next report
// shows it, the group stops being complete, and the planner releases it.
type orderer struct {
	Dependencies
	metrics *loopMetrics
	pool    pond.Pool

	mu      sync.Mutex
	sending map[fleet.VMID]bool
}

func newOrderer(dependencies Dependencies, metrics *loopMetrics) *orderer {
	return &orderer{
		Dependencies: dependencies,
		metrics:      metrics,
		pool:         pond.NewPool(orderWorkers),
		sending:      map[fleet.VMID]bool{},
	}
}

func (o *orderer) stop() { o.pool.StopAndWait() }

// start sends an order in the background, unless one to the member is under
// way.
func (o *orderer) start(ctx context.Context, target group.ControlTarget, vm fleet.VM) {
	if vm.Address == "" || !o.begin(vm.ID) {
		return
	}
	o.pool.Go(func() {
		defer o.end(vm.ID)
		o.send(ctx, vm, target)
	})
}

func (o *orderer) begin(vm fleet.VMID) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.sending[vm] {
		return false
	}
	o.sending[vm] = true
	return true
}

func (o *orderer) end(vm fleet.VMID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.sending, vm)
}

// send orders a member after it has made sure that the order is still right.
func (o *orderer) send(ctx context.Context, vm fleet.VM, target group.ControlTarget) {
	if !o.stillRight(ctx, target) {
		o.metrics.order("withheld")
		return
	}
	order := endpoint.ControlOrder{Action: endpoint.Release, Fencing: target.Fencing}
	if target.Join {
		order.Action = endpoint.Join
		order.Group = target.Group
	}
	ctx, cancel := context.WithTimeout(ctx, o.Bounds.OrderLife-confirmBound)
	defer cancel()
	started := time.Now()
	report, err := o.Engine.Control(ctx, vm.Address, order)
	if err != nil {
		o.noteFailure(vm, order, err)
		return
	}
	o.metrics.order("obeyed")
	o.Logger.Info("member ordered", "vm", vm.ID, "action", order.Action, "fencing", order.Fencing)
	if report.VM == vm.ID {
		o.Table.Put(group.Observation{Report: report, Address: vm.Address, At: started})
	}
}

// stillRight reads the stream to its end unless that was done a moment ago, and
// looks again whether the fold asks for the order. It fails when the reading
// itself took too long.
func (o *orderer) stillRight(ctx context.Context, target group.ControlTarget) bool {
	if !o.confirmed() && o.Groups.Confirm(ctx) != nil {
		return false
	}
	right := false
	o.Groups.Read(func(fold *group.Fold) { right = fold.VM(target.VM).Fence == target.Fencing })
	return right && o.confirmed()
}

// confirmed reports whether the fold is known to be recent. A time ahead of the
// clock proves nothing.
func (o *orderer) confirmed() bool {
	age := time.Since(o.Groups.ConfirmedAt())
	return age >= 0 && age <= confirmBound
}

func (o *orderer) noteFailure(vm fleet.VM, order endpoint.ControlOrder, err error) {
	var stale *endpoint.StaleFencingError
	if errors.As(err, &stale) {
		o.metrics.order("stale")
		o.Logger.Error("member has seen a higher fencing number", "vm", vm.ID, "error", err)
		return
	}
	o.metrics.order("failed")
	o.Logger.Warn("order not confirmed", "vm", vm.ID, "action", order.Action, "error", err)
}
