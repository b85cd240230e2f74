package order

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/plantainmux/plantainmux/internal/infra"
	"github.com/plantainmux/plantainmux/internal/logstream"
	"github.com/plantainmux/plantainmux/internal/refusal"
	"github.com/plantainmux/plantainmux/internal/wait"
)

const (
	defaultClaimTimeout    = 3 * time.Second        // wait for the verdict on a claim
	outcomeRecordWait      = 500 * time.Millisecond // how long an answer is held back until its outcome is recorded
	dispatchShareDivisor   = 4                      // 1/4 of an order's timeout is reserved for the call after the claim
	proposeRetryDelay      = 200 * time.Millisecond // between two proposals of a record that must be recorded
	unclaimedRunTimeout    = 5 * time.Second        // wait until a run without a claim is recorded
	retryLogUnavailable    = 5 * time.Second
	retryInProgress        = time.Second
	retryServiceDown       = 2 * time.Second
	retryOverloaded        = time.Second
	repeatWait             = 2 * time.Second // how long a repeat waits for the outcome
	maxRecordedAnswerBytes = 32 << 10        // a larger answer body is not recorded
	defaultInProgress      = 512
	maxWithdrawals         = 256 // concurrent withdrawals; a claim beyond it is not withdrawn and becomes unclear
)

// Runner runs orders at most once. Each order occupies a worker of a bounded pool
// until its outcome is recorded. This bounds the outcomes that are pending while
// the log is unavailable; when no worker is free, new orders are refused as not
// run.
type Runner struct {
	Dependencies
	pool        *boundedPool
	withdrawals *boundedPool
	draining    atomic.Bool
}

// NewRunner returns a Runner. Zero values of InProgress, ClaimTimeout and Now are
// replaced by defaults.
func NewRunner(dependencies Dependencies) *Runner {
	if dependencies.InProgress == 0 {
		dependencies.InProgress = defaultInProgress
	}
	if dependencies.ClaimTimeout == 0 {
		dependencies.ClaimTimeout = defaultClaimTimeout
	}
	if dependencies.Now == nil {
		dependencies.Now = time.Now
	}
	return &Runner{
		Dependencies: dependencies,
		pool:         newBoundedPool(dependencies.InProgress),
		withdrawals:  newBoundedPool(maxWithdrawals),
	}
}

// Run runs an order at most once, or returns the recorded answer of its key. The
// order continues when ctx ends, and its outcome is still recorded.
func (r *Runner) Run(ctx context.Context, o Order) Result {
	f := r.Slots.acquire(SlotOf(o.Key))
	if record, ok := f.find(o.Key); ok && record.State != NotRan {
		defer r.Slots.release(f)
		return r.repeat(ctx, f, o, record)
	}
	t := newTask(o, f, r.Now())
	accepted := r.pool.trySubmit(func() {
		defer r.Slots.release(f)
		r.run(t)
	})
	if !accepted {
		r.Slots.release(f)
		return refused(r.refusalWhenFull())
	}
	return r.await(ctx, t)
}

func (r *Runner) refusalWhenFull() *refusal.Refusal {
	if r.draining.Load() {
		return refusal.New(refusal.Draining, retryOverloaded, "this daemon is stopping")
	}
	return refusal.New(refusal.Overloaded, retryOverloaded, "too many orders are in progress")
}

func (r *Runner) await(ctx context.Context, t *task) Result {
	select {
	case result := <-t.result:
		return result
	case <-ctx.Done():
	case <-r.Context.Done():
	}
	select {
	case result := <-t.result:
		return result
	default:
		return refused(refusal.NewUnknown(refusal.OrderInProgress, retryInProgress, "the order is being run"))
	}
}

// Drain rejects new orders and waits until the outcome of every accepted order is
// recorded or ctx ends.
func (r *Runner) Drain(ctx context.Context) {
	r.draining.Store(true)
	for _, pool := range []*boundedPool{r.pool, r.withdrawals} {
		select {
		case <-pool.stop():
		case <-ctx.Done():
		}
	}
}

// Pending returns the number of orders whose outcome is not recorded yet.
func (r *Runner) Pending() int { return r.pool.running() }

func (r *Runner) run(t *task) {
	started := r.Now()
	left := t.deadline.Sub(started)
	limit := min(r.ClaimTimeout, left)
	if limit <= 0 {
		t.reply(refused(refusal.New(refusal.DeadlineExceeded, 0, "the deadline passed before the order could run")))
		return
	}
	if len(r.usable(t.order.Addresses)) == 0 {
		t.reply(r.answerWithoutEndpoint(t, limit))
		return
	}
	if r.logUnavailable(t) || !t.slot.breaker.allow() {
		r.finishUnclaimed(t, false)
		return
	}
	served := t.slot.stream.ServedCalls()
	receipt, err := r.proposeClaim(t, max(limit, left-left/dispatchShareDivisor))
	answers := err == nil || t.slot.stream.ServedCalls() != served
	t.slot.breaker.report(answers, limit == r.ClaimTimeout)
	switch {
	case err != nil || isStale(receipt.Rejection):
		r.finishUnclaimed(t, true)
	case receipt.Rejection != nil:
		t.reply(r.answerRejectedClaim(t, receipt.Rejection))
	default:
		r.Metrics.observeClaim(r.Now().Sub(started))
		r.runClaimed(t, receipt.Offset)
	}
}

// logUnavailable reports whether reads of the slot's stream have been failing for
// at least the claim timeout, so that a claim would not be read back in time. The
// stream keeps reading and detects when the log is available again.
func (r *Runner) logUnavailable(t *task) bool {
	return t.slot.stream.ReadOutage(time.Now()) >= r.ClaimTimeout
}

// proposeClaim proposes the claim of an order. It waits for the verdict up to the
// limit, but stops earlier if the log answers no call for the claim timeout.
func (r *Runner) proposeClaim(t *task, limit time.Duration) (logstream.Receipt, error) {
	ctx, cancel := context.WithTimeout(r.Context, limit)
	defer cancel()
	go r.cancelUnanswered(ctx, cancel, t.slot.stream)
	return t.slot.stream.Propose(ctx, KindClaim, t.claim)
}

// cancelUnanswered cancels a proposal when the log has answered no call for the
// claim timeout.
func (r *Runner) cancelUnanswered(ctx context.Context, cancel context.CancelFunc, stream *logstream.Stream[*Fold]) {
	for {
		before := stream.ServedCalls()
		wait.For(ctx, r.ClaimTimeout)
		if ctx.Err() != nil {
			return
		}
		if stream.ServedCalls() == before {
			cancel()
			return
		}
	}
}

// propose proposes a record and waits for its verdict up to the limit, also when
// the request has ended. A limit of 0 means no limit.
func (r *Runner) propose(t *task, kind logstream.Kind, body any, limit time.Duration) (logstream.Receipt, error) {
	ctx, cancel := r.Context, context.CancelFunc(func() {})
	if limit != 0 {
		ctx, cancel = context.WithTimeout(ctx, limit)
	}
	defer cancel()
	return t.slot.stream.Propose(ctx, kind, body)
}

// finishUnclaimed finishes an order whose claim was not read back. A claim that
// was proposed may still be appended to the stream later; it is withdrawn so that
// it does not block repeats.
func (r *Runner) finishUnclaimed(t *task, proposed bool) {
	if t.order.RefusesRepeats {
		r.runDirect(t, proposed)
		return
	}
	t.reply(refused(refusal.New(refusal.LogUnavailable, retryLogUnavailable, "the claim was not recorded in time")))
	if proposed {
		r.withdraw(t)
	}
}

// withdraw settles a claim as not run in the background. It retries for as long as
// the log is unavailable.
func (r *Runner) withdraw(t *task) {
	f := r.Slots.acquire(t.slot.number)
	accepted := r.withdrawals.trySubmit(func() {
		defer r.Slots.release(f)
		r.proposeUntilRecorded(t, KindWithdrawal, Withdrawal{Key: t.order.Key, Attempt: t.claim.Attempt})
	})
	if !accepted {
		r.Slots.release(f)
	}
}

// runClaimed dispatches an order that holds the claim of its key and records the
// outcome.
func (r *Runner) runClaimed(t *task, claim infra.Offset) {
	state, result := r.dispatch(t)
	outcome := t.outcome(claim, state)
	recordAnswer(&outcome, result)
	late := time.AfterFunc(outcomeRecordWait, func() { t.reply(result) })
	defer late.Stop()
	r.proposeUntilRecorded(t, KindOutcome, outcome)
	t.reply(result)
}

// proposeUntilRecorded proposes a record repeatedly until its verdict is read. A
// duplicate of a record that is already in the stream has no effect. A record that
// was rejected as stale is proposed again.
func (r *Runner) proposeUntilRecorded(t *task, kind logstream.Kind, body any) {
	for r.Context.Err() == nil {
		receipt, err := r.propose(t, kind, body, 0)
		if err == nil && !isStale(receipt.Rejection) {
			return
		}
		wait.For(r.Context, proposeRetryDelay)
	}
}

func isStale(void error) bool {
	var stale *logstream.StaleError
	return errors.As(void, &stale)
}

// runDirect runs an order without a claim, relying on the service to reject a key
// that it has already run.
func (r *Runner) runDirect(t *task, proposed bool) {
	state, result := r.dispatch(t)
	t.reply(result)
	if state == NotRan {
		if proposed {
			r.withdraw(t)
		}
		return
	}
	outcome := t.outcome(0, state)
	recordAnswer(&outcome, result)
	_, _ = r.propose(t, KindUnclaimedRun, UnclaimedRun{Claim: t.claim, Outcome: outcome}, unclaimedRunTimeout)
}

// recordAnswer adds the answer to the outcome unless its body is larger than
// maxRecordedAnswerBytes.
func recordAnswer(outcome *Outcome, result Result) {
	if outcome.State != Ran || result.Refusal != nil || len(result.Answer.Body) > maxRecordedAnswerBytes {
		return
	}
	outcome.AnswerKept = true
	outcome.Answer = result.Answer
}
