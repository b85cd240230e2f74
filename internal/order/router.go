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

// passLimit bounds the body of an order that is passed to another daemon, in
// bytes. A larger one is run here.
const passLimit = 4 << 20

// Router passes orders to the owners of their slots. Whom it picks is a matter
// of cost only: the claim decides who runs an order.
type Router struct {
	mesh   peer.Mesh
	slots  *Follower
	runner *Runner
}

// NewRouter returns a router and registers its handler with the mesh.
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

// Run runs an order at most once, on an owner of its slot or, when none can be
// reached, here.
func (r *Router) Run(ctx context.Context, o Order) Result {
	deadline := o.deadlineAt(r.runner.Now())
	for _, owner := range r.slots.Owners(SlotOf(o.Key)) {
		if owner == r.mesh.Self() || len(o.Call.Body) > passLimit {
			break
		}
		o.Timeout = deadline.Sub(r.runner.Now())
		result, err := r.ask(ctx, owner, o)
		if err == nil && !declined(result, o) {
			return maybeElsewhere(result, o)
		}
		o.Again = o.Again || maybeServed(err)
	}
	o.Timeout = deadline.Sub(r.runner.Now())
	return maybeElsewhere(r.runner.Run(ctx, o), o)
}

// ask passes an order to one owner, for as long as the owner may wait for its
// claim. It leaves the rest of the time to ask again. The call ends earlier when
// the owner falls silent.
func (r *Router) ask(ctx context.Context, owner fleet.DaemonID, o Order) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, o.Timeout-o.Timeout/dispatchShare)
	defer cancel()
	r.runner.Metrics.passedOn.Inc()
	var result Result
	err := r.mesh.Call(ctx, owner, peer.MethodOrder, o, &result)
	return result, err
}

// maybeServed reports whether a failed call may have been served. Only a call
// that was not sent, or that the other daemon does not know, was not.
func maybeServed(err error) bool {
	var unreachable *peer.UnreachableError
	return err != nil && !errors.As(err, &unreachable)
}

// declined reports whether an owner refused, as not run, what another daemon
// may do: its clock is wrong, or it is stopping.
func declined(result Result, o Order) bool {
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

// maybeElsewhere never says "not run" of an order that a daemon may be running
// whose answer was lost.
func maybeElsewhere(result Result, o Order) Result {
	if !o.Again {
		return result
	}
	return result.mayHaveRun()
}
