package exchange

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/plantainmux/plantainmux/internal/dispatch"
	"github.com/plantainmux/plantainmux/internal/hedge"
	"github.com/plantainmux/plantainmux/internal/heldbytes"
	"github.com/plantainmux/plantainmux/internal/outbound"
	"github.com/plantainmux/plantainmux/internal/overload"
	"github.com/plantainmux/plantainmux/internal/placement"
	"github.com/plantainmux/plantainmux/internal/suspect"
)

const (
	extraSends     = 2                      // attempts beyond the route's maximum, for those that did not run
	suspectPeriod  = time.Second            // during which a silent group is avoided
	retryAfterBase = 300 * time.Millisecond // by then some of the requests in progress have ended
	// restrictedRetryAfter is for requests that may go to no endpoint by the word of operators: to an
	// evacuated data centre, or to another region. That ends when operators end it, not when requests
	// in progress do.
	restrictedRetryAfter = time.Second
	retryAfterJitter     = 500 * time.Millisecond // spreads the retries of callers that were refused together
)

// run is the state of one request until its answer is complete.
type run struct {
	*Exchanger
	req            *Request
	subject        suspect.Subject
	sink           Sink
	excluded       map[string]bool // keys of targets that failed this request
	attempts       int
	possiblyRan    int // attempts in which the request may have run
	started        bool
	contentType    string // of the answer that started
	events         eventBuffer
	fallback       *fallbackAnswer   // error answer of an endpoint, forwarded if no attempt succeeds
	summary        placement.Summary // at the last choice of a target, for the log
	race           race
	current        *attempt    // the last one whose answer was forwarded; nil: none
	heldBack       bool        // the last attempt's answer was not read for a time, since the caller was slow
	attemptEvents  int         // reads of the last attempt that completed events
	attemptFirstAt time.Time   // when the last attempt brought its first event; zero: none yet
	trial          atomic.Bool // the request runs although it is refused
	pastBeginning  bool        // the last attempt has been writing for a while
	firstAt        time.Time   // when the first event or the complete answer arrived
	longestGap     time.Duration
	decision       overload.Decision // on the first attempt, under overload
	dispatch       dispatch.Outcome  // of asking the dispatcher, on the first attempt
}

func (r *run) runToCompletion(ctx context.Context) *Failure {
	if !r.fitsMemory() {
		r.Logger.Info("request exceeds the memory of a group", "request", r.req.ID, "prompt_tokens", r.req.PromptTokens, "output_tokens", r.req.OutputTokens, "memory_tokens", r.req.Service.Performance.MemoryTokens)
		return r.fail(ExceedsMemory, nil)
	}
	defer r.race.stop()
	var next *attempt // in progress already
	for {
		if next == nil {
			target, failure := r.pickTarget(ctx)
			if failure != nil {
				return r.sendFallback(failure)
			}
			r.attempts++
			next = r.begin(ctx, target, r.events.lastID)
			r.race.lead(next)
		}
		a := next
		err := r.execute(ctx, a)
		if err == nil {
			a.target.Meter.ObserveSuccess(a.endedAt)
			a.target.Meter.ObserveLatency(a.endedAt.Sub(a.sentAt))
			r.Suspects.Clear(r.subject, a.endedAt)
			return nil
		}
		var failure *Failure
		if next, failure = r.handleFailure(ctx, a, err); failure != nil {
			return r.sendFallback(failure)
		}
	}
}

// handleFailure returns the failure of the request, unless another attempt may be made. It returns that
// attempt if it is in progress already.
func (r *run) handleFailure(ctx context.Context, a *attempt, err error) (*attempt, *Failure) {
	if !pathFailed(err) {
		r.excluded[a.target.Key] = true
	}
	var gone *CallerGoneError
	var tooSlow *SlowReaderError
	if errors.As(err, &tooSlow) {
		r.Logger.Info("caller reads too slowly", "request", r.req.ID, "endpoint", a.target.ID, "timeout_ms", tooSlow.After.Milliseconds(), "events_limit_bytes", maxWaitingEventBytes, "held_bytes_events", r.Held.Held(heldbytes.Events))
		return nil, &Failure{Reason: SlowReader, Started: r.started, Cause: err}
	}
	if errors.As(err, &gone) {
		return nil, &Failure{Reason: CallerGone, Started: r.started, Cause: err}
	}
	if errors.Is(ctx.Err(), context.Canceled) && !stopped(ctx) {
		return nil, r.contextFailure(ctx) // the caller cancelled, which is no evidence against the target
	}
	var broken *BrokenError
	if errors.As(err, &broken) {
		r.possiblyRan++
	}
	if stopped(ctx) {
		return nil, r.contextFailure(ctx)
	}
	// A slow caller may have taken what was read before the failure only now.
	r.recordFailure(evidence{target: a.target, err: err, at: a.endedAt, firstAt: r.attemptFirstAt, heldBack: r.heldBack})
	if ctx.Err() != nil {
		return nil, r.contextFailure(ctx)
	}
	r.logFailedAttempt(a, err)
	if broken != nil && broken.Reason == Withdrawn {
		return nil, r.fail(CrashSuspect, err)
	}
	if next := r.succeed(); next != nil {
		r.Metrics.retried(retryReason(err))
		return next, nil
	}
	if failure := r.retryDenial(err); failure != nil {
		return nil, failure
	}
	r.Metrics.retried(retryReason(err))
	return nil, nil
}

// succeed returns the attempt beside the failed one that goes on, nil if there is none, and counts those
// that have ended.
func (r *run) succeed() *attempt {
	next, failed, sent, ran := r.race.succeed()
	maps.Copy(r.excluded, failed)
	r.attempts += sent
	r.possiblyRan += ran
	if next != nil {
		r.attempts++
	}
	return next
}

// recordFailure updates the health of the target after a failed attempt.
func (r *run) recordFailure(e evidence) {
	var notRun *NotRunError
	var notSent *NotSentError
	var broken *BrokenError
	switch {
	case errors.As(e.err, &notSent) && notSent.Blame != outbound.BlameEndpoint:
		// Shows nothing about the target.
	case errors.As(e.err, &notRun):
		if notRun.AddressReassigned || notRun.MissingMember != "" {
			e.target.Meter.ObserveFailure(e.at)
			r.ReportSuspect(e.target, notRun.MissingMember, false)
		}
	case errors.As(e.err, &broken):
		r.recordBroken(e, broken)
	default:
		e.target.Meter.ObserveFailure(e.at)
		if r.req.Service.Grouped() {
			r.ReportSuspect(e.target, e.target.ID, false)
		}
	}
}

// recordBroken updates the health of the target of an attempt that may have run. A silent one was
// reported when another attempt was sent beside it.
func (r *run) recordBroken(e evidence, broken *BrokenError) {
	switch broken.Reason {
	case Cut:
		if e.heldBack {
			return // endpoints cut off an answer that is not read
		}
		if suspect.Beginning(e.firstAt, e.at) {
			r.Suspects.Add(suspect.Crash{Subject: r.subject, Group: e.target.CrashKey(), At: e.at}, e.at)
		}
		r.recordCut(e.target, e.at)
	case Slow:
		if !r.Forwards(nil) { // otherwise the way to the target may have failed
			e.target.Meter.ObserveFailure(e.at)
		}
	case ErrorStatus, Disorder, Foreign, Unsigned:
		e.target.Meter.ObserveFailure(e.at)
	case Oversize:
		var tooLarge *BodyTooLargeError
		if !errors.As(broken.Err, &tooLarge) || !tooLarge.Shared {
			e.target.Meter.ObserveFailure(e.at)
		}
	default:
	}
}

// failedBeside records the failure of an attempt beside the main one.
func (r *run) failedBeside(a *attempt, err error) {
	now := time.Now()
	r.Metrics.hedgeEnded("failed")
	r.recordFailure(evidence{target: a.target, err: err, at: now})
	r.Logger.Info("attempt beside another failed", "request", r.req.ID, "route", r.req.Route.Name, "endpoint", a.target.ID, "group", a.target.Group, "epoch", a.target.Epoch,
		"reason", retryReason(err), "error", err, "after", a.after, "attempt_ms", now.Sub(a.sentAt).Milliseconds())
}

// recordCut updates the health of the target after its connection broke.
func (r *run) recordCut(target *placement.Target, now time.Time) {
	if r.req.Service.Grouped() {
		target.Meter.ObserveStreamBreak(now)
		return
	}
	target.Meter.ObserveFailure(now)
}

// retryDenial returns the failure of the request if no other attempt may be made,
// otherwise nil.
func (r *run) retryDenial(err error) *Failure {
	var notSent *NotSentError
	var broken *BrokenError
	isBroken := errors.As(err, &broken)
	switch {
	case isBroken && !r.req.Route.Repeatable():
		return r.fail(Broken, err)
	case r.possiblyRan >= max(r.req.Route.MaxAttempts, 1):
		return r.fail(Broken, err)
	case r.attempts >= r.req.Route.MaxAttempts+extraSends:
		return r.fail(Refused, err)
	case time.Until(r.req.Deadline) < hedge.MinRemaining:
		return r.fail(DeadlineExceeded, err)
	case errors.As(err, &notSent):
		return nil // did not reach the endpoint, so it does not count as a retry
	case !r.budget(r.req.Service.Name).Take(time.Now(), r.Daemons()):
		return r.fail(NoBudget, err)
	default:
		return nil
	}
}

func (r *run) fail(reason Reason, cause error) *Failure {
	return &Failure{Reason: reason, NotRun: r.possiblyRan == 0, Started: r.started, RetryAfter: retryAfter(), Cause: cause}
}

// stopped reports whether a request was ended since the daemon ends.
func stopped(ctx context.Context) bool {
	var stopped *StoppedError
	return errors.As(context.Cause(ctx), &stopped)
}

// contextFailure returns the failure of a request whose context has ended: Stopped if the daemon ends,
// CallerGone if the caller cancelled, otherwise DeadlineExceeded.
func (r *run) contextFailure(ctx context.Context) *Failure {
	if stopped(ctx) {
		return r.fail(Stopped, context.Cause(ctx))
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return &Failure{Reason: CallerGone, Started: r.started, Cause: context.Cause(ctx)}
	}
	return r.fail(DeadlineExceeded, context.Cause(ctx))
}

// retryAfter returns a delay with jitter, which spreads the retries of callers that
// were refused together.
func retryAfter() time.Duration {
	return retryAfterBase + retryJitter()
}

func retryJitter() time.Duration { return time.Duration(rand.Int64N(int64(retryAfterJitter))) }

func (r *run) timeToFirst() time.Duration {
	if r.firstAt.IsZero() {
		return 0
	}
	return r.firstAt.Sub(r.req.Arrived)
}

// late reports whether the answer missed the latency target or exceeded the gap
// target.
func (r *run) late() bool {
	route := r.req.Route
	return route.LatencyTarget > 0 && r.timeToFirst() > route.LatencyTarget || route.GapTarget > 0 && r.longestGap > route.GapTarget
}

// overdue reports whether the answer will be late: the request was refused before, or its latency
// target has passed without an event.
func (r *run) overdue(now time.Time) bool {
	return r.firstAt.IsZero() && r.req.overdue(now) || r.req.refusedBefore()
}

// pathFailed reports whether an attempt failed on the way to its target, which another attempt may
// reach.
func pathFailed(err error) bool {
	var notSent *NotSentError
	var broken *BrokenError
	if errors.As(err, &notSent) {
		return notSent.Blame == outbound.BlamePath
	}
	return errors.As(err, &broken) && broken.Reason == PathLost
}

// load returns the load of the target when the last attempt began.
func (r *run) load() int {
	if r.current == nil {
		return 0
	}
	return r.current.loadBefore
}
