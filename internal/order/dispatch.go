package order

import (
	"context"
	"errors"

	"github.com/plantainmux/plantainmux/internal/endpoint"
	"github.com/plantainmux/plantainmux/internal/refusal"
)

// dispatch sends an order at most once. It tries the next endpoint only when no
// byte was sent to the previous one, and sends nothing after the deadline.
func (r *Runner) dispatch(t *task) (State, Result) {
	ctx, cancel := context.WithDeadline(r.Context, t.deadline)
	defer cancel()
	for _, address := range r.usable(t.order.Addresses) {
		// The timer of the context may fire late after the process was paused, so
		// the wall clock is checked too.
		if ctx.Err() != nil || r.Now().UnixMilli() >= t.claim.DeadlineMillis {
			return NotRan, refused(refusal.New(refusal.DeadlineExceeded, 0, "the deadline passed before the order could run"))
		}
		answer, err := r.Service.Call(ctx, address, t.order.Call)
		var unreachable *endpoint.UnreachableError
		switch {
		case err == nil:
			r.Metrics.ran.Inc()
			return Ran, Result{Answer: answer}
		case errors.As(err, &unreachable):
			continue
		default:
			return r.failedCall(err)
		}
	}
	r.Metrics.notRun.Inc()
	return NotRan, refused(refusal.New(refusal.ServiceUnavailable, retryServiceDown, "the service cannot be reached"))
}

// failedCall returns the state and the result of a call that was sent to the
// service but returned no complete answer.
func (r *Runner) failedCall(err error) (State, Result) {
	var tooLarge *endpoint.AnswerTooLargeError
	if errors.As(err, &tooLarge) {
		r.Metrics.ran.Inc()
		return Ran, refused(refusal.NewUnknown(refusal.AnswerNotKept, 0, "the order ran, but its answer is too large"))
	}
	r.Metrics.unclear.Inc()
	return Unclear, refused(refusal.NewUnknown(refusal.OrderUnsettled, 0, "the service broke off"))
}

func (r *Runner) usable(addresses []string) []string {
	var usable []string
	for _, address := range addresses {
		if r.EndpointHealthy(address) {
			usable = append(usable, address)
		}
	}
	return usable
}
