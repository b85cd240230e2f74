package order

import (
	"context"
	"errors"
	"time"

	"github.com/plantainmux/plantainmux/internal/refusal"
)

// repeat answers an order whose key has a record. It never dispatches the order.
func (r *Runner) repeat(ctx context.Context, f *followedSlot, o Order, record Record) Result {
	r.Metrics.repeats.Inc()
	fingerprint := NewFingerprint(o.Call.Method, o.Call.Path, o.Call.Body)
	if record.Claim.Fingerprint != fingerprint {
		return keyReused()
	}
	ctx, cancel := context.WithDeadline(ctx, o.repeatDeadline(r.Now()))
	defer cancel()
	latest, ok := f.awaitSettled(ctx, o.Key)
	if !ok {
		return refused(refusal.NewUnknown(refusal.OrderUnsettled, retryInProgress, "the key has expired"))
	}
	// While this request waited, the claim may have been settled as not run and
	// the key claimed by a request with other content.
	if latest.Claim.Fingerprint != fingerprint {
		return keyReused()
	}
	return answerRecord(latest)
}

func keyReused() Result {
	return refused(refusal.New(refusal.KeyReused, 0, "the idempotency key belongs to another request"))
}

// answerRejectedClaim answers an order whose claim was rejected, usually because
// another claim of the key came first.
func (r *Runner) answerRejectedClaim(t *task, void error) Result {
	var claimed *ClaimedError
	if !errors.As(void, &claimed) {
		return refused(refusal.New(refusal.LogUnavailable, retryLogUnavailable, void.Error()))
	}
	return r.repeat(r.Context, t.slot, t.order, claimed.Record)
}

// answerRecord returns the result for a repeat from the record of its key.
func answerRecord(record Record) Result {
	switch record.State {
	case Ran:
		return answerRan(record)
	case NotRan:
		return refused(refusal.New(refusal.ServiceUnavailable, retryInProgress, "the order did not run; it may be sent again"))
	case Closed:
		return refused(refusal.New(refusal.OrderClosed, 0, "an operator settled the order as not run; use a new key"))
	case Unclear:
		return refused(refusal.NewUnknown(refusal.OrderUnsettled, 0, "nobody knows whether the order ran"))
	default:
		return refused(refusal.NewUnknown(refusal.OrderInProgress, retryInProgress, "the order is being run"))
	}
}

func answerRan(record Record) Result {
	if record.AnswerKept {
		return Result{Answer: record.Answer}
	}
	return refused(refusal.NewUnknown(refusal.AnswerNotKept, 0, "the order ran, but its answer was not kept"))
}

// answerWithoutEndpoint answers an order while no endpoint is healthy. It appends
// nothing to the log: a key that has a record is answered from it, any other is
// refused as not run.
func (r *Runner) answerWithoutEndpoint(t *task, limit time.Duration) Result {
	ctx, cancel := context.WithTimeout(r.Context, limit)
	defer cancel()
	if err := t.slot.confirm(ctx); err != nil {
		return refused(refusal.New(refusal.LogUnavailable, retryLogUnavailable, "the log cannot be read"))
	}
	if record, ok := t.slot.find(t.order.Key); ok && record.State != NotRan {
		return r.repeat(r.Context, t.slot, t.order, record)
	}
	r.Metrics.notRun.Inc()
	return refused(refusal.New(refusal.ServiceUnavailable, retryServiceDown, "no endpoint of the service is healthy"))
}
