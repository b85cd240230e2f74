package order

import (
	"context"
	"errors"
	"time"

	"github.com/plantainmux/plantainmux/internal/endpoint"
	"github.com/plantainmux/plantainmux/internal/logstream"
	"github.com/plantainmux/plantainmux/internal/platform"
	"github.com/plantainmux/plantainmux/internal/refusal"
)

const (
	claimTimeout    = 3 * time.Second
	outcomeTimeout  = 30 * time.Second
	retryLogAway    = 5 * time.Second
	retryInProgress = time.Second
)

// Runner runs orders of the slots whose streams it holds.
type Runner struct {
	streams [Slots]*logstream.Stream[*Fold]
	service endpoint.Service
}

// NewRunner returns a runner.
func NewRunner(streams [Slots]*logstream.Stream[*Fold], service endpoint.Service) *Runner {
	return &Runner{streams: streams, service: service}
}

// Run runs an order at most once, or returns the recorded answer of its key.
func (r *Runner) Run(ctx context.Context, o Order) (endpoint.ServiceAnswer, *refusal.Refusal) {
	stream := r.streams[SlotOf(o.Claim.Key)]
	claimCtx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	receipt, err := stream.Propose(claimCtx, KindClaim, o.Claim)
	if err != nil {
		return endpoint.ServiceAnswer{}, refusal.New(refusal.LogUnavailable, retryLogAway, "the claim was not recorded in time")
	}
	if receipt.Void != nil {
		return answerRepeat(o.Claim, receipt.Void)
	}
	if ctx.Err() != nil || time.Now().UnixMilli() > o.Claim.DeadlineMillis {
		r.settle(ctx, stream, Outcome{Key: o.Claim.Key, Claim: receipt.Offset, State: NotRan})
		return endpoint.ServiceAnswer{}, refusal.New(refusal.DeadlineExceeded, 0, "the deadline passed before the order could run")
	}
	return r.dispatch(ctx, stream, o, receipt.Offset)
}

// answerRepeat answers a claim that lost by what is recorded of the winner.
func answerRepeat(claim Claim, void error) (endpoint.ServiceAnswer, *refusal.Refusal) {
	var claimed *ClaimedError
	if !errors.As(void, &claimed) {
		return endpoint.ServiceAnswer{}, refusal.New(refusal.LogUnavailable, retryLogAway, void.Error())
	}
	record := claimed.Record
	switch {
	case record.Claim.BodyHash != claim.BodyHash:
		return endpoint.ServiceAnswer{}, refusal.New(refusal.KeyReused, 0, "the idempotency key belongs to another request")
	case record.State == Ran:
		return record.Answer, nil
	case record.State == Unclear:
		return endpoint.ServiceAnswer{}, refusal.NewUnknown(refusal.OrderUnsettled, 0, "nobody knows whether the order ran")
	default:
		return endpoint.ServiceAnswer{}, refusal.NewUnknown(refusal.OrderInProgress, retryInProgress, "the order is being run")
	}
}

// dispatch sends the order once and records what came of it.
func (r *Runner) dispatch(ctx context.Context, stream *logstream.Stream[*Fold], o Order, claim platform.Offset) (endpoint.ServiceAnswer, *refusal.Refusal) {
	answer, err := r.service.Call(ctx, o.Address, o.Call)
	outcome := Outcome{Key: o.Claim.Key, Claim: claim, State: Ran, Answer: answer}
	var unreachable *endpoint.UnreachableError
	switch {
	case err == nil:
		r.settle(ctx, stream, outcome)
		return answer, nil
	case errors.As(err, &unreachable):
		outcome.State = NotRan
		r.settle(ctx, stream, outcome)
		return answer, refusal.New(refusal.ServiceDown, retryInProgress, "the service cannot be reached")
	default:
		outcome.State = Unclear
		r.settle(ctx, stream, outcome)
		return answer, refusal.NewUnknown(refusal.OrderUnsettled, 0, "the service broke off")
	}
}

// settle records an outcome, also when the caller has gone away.
func (r *Runner) settle(ctx context.Context, stream *logstream.Stream[*Fold], outcome Outcome) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), outcomeTimeout)
	defer cancel()
	_, _ = stream.Propose(ctx, KindOutcome, outcome)
}
