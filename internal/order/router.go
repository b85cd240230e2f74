package order

import (
	"context"
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/logstream"
	"github.com/plantainmux/plantainmux/internal/peer"
	"github.com/plantainmux/plantainmux/internal/refusal"
)

// maxForwardBytes bounds the body of an order that is forwarded to another daemon.
// An order with a larger body is run on this daemon.
const maxForwardBytes = 4 << 20

// Router forwards orders to the owners of their slots. The choice of the daemon
// affects only cost, not correctness: the claim decides which daemon runs an
// order.
type Router struct {
	mesh   peer.Mesh
	slots  *Follower
	runner *Runner
}

// NewRouter returns a Router and registers its handler with the mesh.
func NewRouter(mesh peer.Mesh, slots *Follower, runner *Runner) *Router {
	r := &Router{mesh: mesh, slots: slots, runner: runner}
	mesh.HandleCall(peer.MethodOrder, r.handle)
	return r
}

func (r *Router) handle(ctx context.Context, _ fleet.DaemonID, body cbor.RawMessage) (any, error) {
	var o Order
	if err := logstream.Unmarshal(body, &o); err != nil {
		return nil, err
	}
	return r.runner.Run(ctx, o), nil
}

// Run runs an order at most once, on an owner of its slot or, if none can be
// reached, on this daemon.
func (r *Router) Run(ctx context.Context, o Order) Result {
	deadline := o.deadlineAt(r.runner.Now())
	for _, owner := range r.slots.Owners(SlotOf(o.Key)) {
		if owner == r.mesh.Self() || len(o.Call.Body) > maxForwardBytes {
			break
		}
		o.Timeout = deadline.Sub(r.runner.Now())
		result, err := r.forward(ctx, owner, o)
		if err == nil && !retryableElsewhere(result, o) {
			return downgradeNotRun(result, o)
		}
		o.MaybeForwarded = o.MaybeForwarded || mayHaveBeenServed(err)
	}
	o.Timeout = deadline.Sub(r.runner.Now())
	return downgradeNotRun(r.runner.Run(ctx, o), o)
}

// forward sends an order to one owner. The call times out when the owner's wait
// for its claim would, so that the rest of the order's timeout remains to try
// another daemon. It ends earlier if the owner stops answering.
func (r *Router) forward(ctx context.Context, owner fleet.DaemonID, o Order) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, o.Timeout-o.Timeout/dispatchShareDivisor)
	defer cancel()
	r.runner.Metrics.forwarded.Inc()
	var result Result
	err := r.mesh.Call(ctx, owner, peer.MethodOrder, o, &result)
	return result, err
}

// mayHaveBeenServed reports whether a failed call may have been served. It was
// certainly not served only if it was not sent or the other daemon does not support
// the method.
func mayHaveBeenServed(err error) bool {
	var unreachable *peer.UnreachableError
	return err != nil && !errors.As(err, &unreachable)
}

// retryableElsewhere reports whether an owner refused an order as not run for a
// reason that does not apply to another daemon: the owner's clock is wrong, or it
// is draining.
func retryableElsewhere(result Result, o Order) bool {
	if result.Refusal == nil || result.Refusal.Outcome != refusal.NotRun {
		return false
	}
	switch result.Refusal.Reason {
	case refusal.Draining:
		return true
	case refusal.DeadlineExceeded:
		return o.Timeout > time.Second
	default:
		return false
	}
}

// downgradeNotRun replaces "not run" by "unknown" for an order that another daemon
// may be running, because that daemon's answer was lost.
func downgradeNotRun(result Result, o Order) Result {
	if !o.MaybeForwarded {
		return result
	}
	return result.withUnknownOutcome()
}
