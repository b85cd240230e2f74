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
	claimTimeout      = 3 * time.Second        // wait for the verdict on a claim, by default
	outcomeWait       = 500 * time.Millisecond // an answer waits so long for its record
	dispatchShare     = 4                      // a claim leaves this part of an order's time, one in so many, to the call
	insistDelay       = 200 * time.Millisecond // between two proposals of a record that must not be lost
	directRunTimeout  = 5 * time.Second        // wait for the record of a run without a claim
	retryLogAway      = 5 * time.Second
	retryInProgress   = time.Second
	retryServiceDown  = 2 * time.Second
	retryOverloaded   = time.Second
	repeatWait        = 2 * time.Second // a repeat waits so long for the outcome
	answerKeptLimit   = 32 << 10        // bytes of an answer that is recorded
	defaultInProgress = 512
	withdrawalsLimit  = 256 // claims in withdrawal; beyond it, a claim ends as unclear
)

// Runner runs orders at most once. Each order holds one worker of a bounded
// pool until its outcome is recorded, so that outcomes that the log does not
// take are bounded: beyond that, new orders are refused as not run.
type Runner struct {
	Dependencies
	pool        *boundedPool
	withdrawals *boundedPool
	draining    atomic.Bool
}

// NewRunner returns a runner.
func NewRunner(dependencies Dependencies) *Runner {
	if dependencies.InProgress == 0 {
		dependencies.InProgress = defaultInProgress
	}
	if dependencies.ClaimTimeout == 0 {
		dependencies.ClaimTimeout = claimTimeout
	}
	if dependencies.Now == nil {
		dependencies.Now = time.Now
	}
	return &Runner{
		Dependencies: dependencies,
		pool:         newBoundedPool(dependencies.InProgress),
		withdrawals:  newBoundedPool(withdrawalsLimit),
	}
}

// Run runs an order at most once, or returns the recorded answer of its key.
// An order goes on when ctx ends; its outcome is recorded all the same.
func (r *Runner) Run(ctx context.Context, o Order) Result {
	f := r.Slots.acquire(SlotOf(o.Key))
	if record, ok := f.find(o.Key); ok && record.State != NotRan {
		defer r.Slots.release(f)
		return r.repeat(ctx, f, o, record)
	}
	t := newTask(o, f, r.Now())
	accepted := r.pool.try(func() {
		defer r.Slots.release(f)
		r.run(t)
	})
	if !accepted {
		r.Slots.release(f)
		return refused(r.full())
	}
	return r.await(ctx, t)
}

func (r *Runner) full() *refusal.Refusal {
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

// Drain waits until every order has its outcome recorded, but no longer than
// ctx allows.
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
		t.reply(r.withoutService(t, limit))
		return
	}
	if r.logAway(t) || !t.followed.breaker.enter() {
		r.unclaimed(t, false)
		return
	}
	served := t.followed.stream.Answers()
	receipt, err := r.proposeClaim(t, max(limit, left-left/dispatchShare))
	answers := err == nil || t.followed.stream.Answers() != served
	t.followed.breaker.leave(answers, limit == r.ClaimTimeout)
	switch {
	case err != nil || isStale(receipt.Void):
		r.unclaimed(t, true)
	case receipt.Void != nil:
		t.reply(r.lost(t, receipt.Void))
	default:
		r.Metrics.claimed(r.Now().Sub(started))
		r.claimed(t, receipt.Offset)
	}
}

// logAway reports whether the slot's stream could not be read for so long that
// no claim would be read back. The reader finds out when the log is back.
func (r *Runner) logAway(t *task) bool {
	return t.followed.stream.Failing(time.Now()) >= r.ClaimTimeout
}

// proposeClaim proposes the claim of an order. It waits for the verdict while
// the log answers, however slowly, but no longer than a limit.
func (r *Runner) proposeClaim(t *task, limit time.Duration) (logstream.Receipt, error) {
	ctx, cancel := context.WithTimeout(r.Context, limit)
	defer cancel()
	go r.cancelUnanswered(ctx, cancel, t.followed.stream)
	return t.followed.stream.Propose(ctx, KindClaim, t.claim)
}

// cancelUnanswered cancels a proposal once the log has served no call for the
// claim timeout.
func (r *Runner) cancelUnanswered(ctx context.Context, cancel context.CancelFunc, stream *logstream.Stream[*Fold]) {
	for {
		before := stream.Answers()
		wait.For(ctx, r.ClaimTimeout)
		if ctx.Err() != nil {
			return
		}
		if stream.Answers() == before {
			cancel()
			return
		}
	}
}

// propose proposes a record for a limited time, whatever becomes of the
// request. A limit of zero is none.
func (r *Runner) propose(t *task, kind logstream.Kind, body any, limit time.Duration) (logstream.Receipt, error) {
	ctx, cancel := r.Context, context.CancelFunc(func() {})
	if limit != 0 {
		ctx, cancel = context.WithTimeout(ctx, limit)
	}
	defer cancel()
	return t.followed.stream.Propose(ctx, kind, body)
}

// unclaimed ends an order whose claim was not read back. A claim that was
// proposed may stand in the stream later; it is withdrawn, so that it blocks no
// repeat.
func (r *Runner) unclaimed(t *task, proposed bool) {
	if t.order.RefusesRepeats {
		r.runDirect(t, proposed)
		return
	}
	t.reply(refused(refusal.New(refusal.LogUnavailable, retryLogAway, "the claim was not recorded in time")))
	if proposed {
		r.withdraw(t)
	}
}

// withdraw settles a claim in the background, however long the log is away.
func (r *Runner) withdraw(t *task) {
	f := r.Slots.acquire(t.followed.slot)
	accepted := r.withdrawals.try(func() {
		defer r.Slots.release(f)
		r.insist(t, KindWithdrawal, Withdrawal{Key: t.order.Key, Attempt: t.claim.Attempt})
	})
	if !accepted {
		r.Slots.release(f)
	}
}

// claimed runs an order that holds the claim of its key.
func (r *Runner) claimed(t *task, claim infra.Offset) {
	state, result := r.dispatch(t)
	outcome := t.outcome(claim, state)
	keepAnswer(&outcome, result)
	late := time.AfterFunc(outcomeWait, func() { t.reply(result) })
	defer late.Stop()
	r.insist(t, KindOutcome, outcome)
	t.reply(result)
}

// insist proposes a record until its verdict is read. A repeat of one that is
// in the stream already is void. One that came too late to be judged is
// proposed anew.
func (r *Runner) insist(t *task, kind logstream.Kind, body any) {
	for r.Context.Err() == nil {
		receipt, err := r.propose(t, kind, body, 0)
		if err == nil && !isStale(receipt.Void) {
			return
		}
		wait.For(r.Context, insistDelay)
	}
}

func isStale(void error) bool {
	var stale *logstream.StaleError
	return errors.As(void, &stale)
}

// runDirect runs an order without a claim: the service itself refuses a key
// that it has run.
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
	keepAnswer(&outcome, result)
	_, _ = r.propose(t, KindDirectRun, DirectRun{Claim: t.claim, Outcome: outcome}, directRunTimeout)
}

// keepAnswer puts the answer into the record unless it is too large.
func keepAnswer(outcome *Outcome, result Result) {
	if outcome.State != Ran || result.Refusal != nil || len(result.Answer.Body) > answerKeptLimit {
		return
	}
	outcome.AnswerKept = true
	outcome.Answer = result.Answer
}
