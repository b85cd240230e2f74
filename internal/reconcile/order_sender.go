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
	// maxConfirmationAge is the maximum age of the last confirmation of the group
	// stream when an order is sent.
	maxConfirmationAge = 500 * time.Millisecond
	orderWorkers       = 64
)

// orderSender sends control orders to members, at most one at a time to each.
//
// An order is sent only if the fold that requires it was confirmed within
// maxConfirmationAge. An engine that checks fencing numbers rejects late orders.
// For one that does not, the reuse delay of a released VM is longer than an order
// can take effect. This does not cover a daemon that is paused for longer than
// the reuse delay between its last check and the write to the socket, or a
// network that delays a packet for as long: the member carries out such an order.
// Its next report shows that, the group is no longer complete, and the planner
// releases it.
type orderSender struct {
	Dependencies
	metrics *loopMetrics
	pool    pond.Pool

	mu       sync.Mutex
	inFlight map[fleet.VMID]bool
}

func newOrderSender(dependencies Dependencies, metrics *loopMetrics) *orderSender {
	return &orderSender{
		Dependencies: dependencies,
		metrics:      metrics,
		pool:         pond.NewPool(orderWorkers),
		inFlight:     map[fleet.VMID]bool{},
	}
}

func (o *orderSender) stop() { o.pool.StopAndWait() }

// start sends an order in the background, unless one to the member is in flight.
func (o *orderSender) start(ctx context.Context, target group.ControlTarget, vm fleet.VM) {
	if vm.Address == "" || !o.begin(vm.ID) {
		return
	}
	o.pool.Go(func() {
		defer o.end(vm.ID)
		o.send(ctx, vm, target)
	})
}

func (o *orderSender) begin(vm fleet.VMID) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.inFlight[vm] {
		return false
	}
	o.inFlight[vm] = true
	return true
}

func (o *orderSender) end(vm fleet.VMID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.inFlight, vm)
}

// send sends an order to a member if the order is still current.
func (o *orderSender) send(ctx context.Context, vm fleet.VM, target group.ControlTarget) {
	if !o.stillCurrent(ctx, target) {
		o.metrics.countOrder("withheld")
		return
	}
	order := endpoint.ControlOrder{Action: endpoint.Release, Fencing: target.Fencing}
	if target.Join {
		order.Action = endpoint.Join
		order.Group = target.Group
	}
	ctx, cancel := context.WithTimeout(ctx, o.Bounds.OrderLife-maxConfirmationAge)
	defer cancel()
	started := time.Now()
	report, err := o.Engine.Control(ctx, vm.Address, order)
	if err != nil {
		o.recordFailure(vm, order, err)
		return
	}
	o.metrics.countOrder("obeyed")
	o.Logger.Info("member carried out control order", "vm", vm.ID, "action", order.Action, "fencing", order.Fencing)
	if report.VM == vm.ID {
		o.Table.Put(group.Observation{Report: report, Address: vm.Address, At: started})
	}
}

// stillCurrent reads the stream to its end, unless that was done within
// maxConfirmationAge, and reports whether the fencing number of the order is still
// that of the VM. It returns false if reading took too long.
func (o *orderSender) stillCurrent(ctx context.Context, target group.ControlTarget) bool {
	if !o.confirmed() && o.Groups.Confirm(ctx) != nil {
		return false
	}
	current := false
	o.Groups.Read(func(fold *group.Fold) { current = fold.VM(target.VM).Fence == target.Fencing })
	return current && o.confirmed()
}

// confirmed reports whether the fold was confirmed within maxConfirmationAge. A
// confirmation time in the future does not count.
func (o *orderSender) confirmed() bool {
	age := time.Since(o.Groups.ConfirmedAt())
	return age >= 0 && age <= maxConfirmationAge
}

func (o *orderSender) recordFailure(vm fleet.VM, order endpoint.ControlOrder, err error) {
	var stale *endpoint.StaleFencingError
	if errors.As(err, &stale) {
		o.metrics.countOrder("stale")
		o.Logger.Error("member rejected control order: it has seen a higher fencing number", "vm", vm.ID, "error", err)
		return
	}
	o.metrics.countOrder("failed")
	o.Logger.Warn("control order not confirmed by member", "vm", vm.ID, "action", order.Action, "error", err)
}
