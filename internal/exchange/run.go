package exchange

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/plantainmux/plantainmux/internal/dispatch"
	"github.com/plantainmux/plantainmux/internal/heldbytes"
	"github.com/plantainmux/plantainmux/internal/outbound"
	"github.com/plantainmux/plantainmux/internal/overload"
	"github.com/plantainmux/plantainmux/internal/placement"
	"github.com/plantainmux/plantainmux/internal/suspect"
)

const (
	minRemaining   = 30 * time.Millisecond  // with less time left, no attempt can succeed
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
	req               *Request
	subject           suspect.Subject
	sink              Sink
	excluded          map[string]bool // keys of targets that failed this request
	attempts          int
	possiblyRan       int // attempts in which the request may have run
	started           bool
	contentType       string // of the answer that started
	events            eventBuffer
	fallback          *fallbackAnswer   // error answer of an endpoint, forwarded if no attempt succeeds
	summary           placement.Summary // at the last choice of a target, for the log
	unprefilledTokens int               // prompt tokens that the current attempt's target has not prefilled yet
	loadBefore        int               // load of the target when the last attempt began
	sentAt            time.Time         // when the last attempt began
	answeredAt        time.Time         // when the last attempt ended at its endpoint
	heldBack          bool              // the last attempt's answer was not read for a time, since the caller was slow
	attemptEvents     int               // reads of the last attempt that completed events
	attemptFirstAt    time.Time         // when the last attempt brought its first event; zero: none yet
	trial             atomic.Bool       // the request runs although it is refused
	pastBeginning     bool              // the last attempt has been writing for a while
	firstAt           time.Time         // when the first event or the complete answer arrived
	longestGap        time.Duration
	decision          overload.Decision // on the first attempt, under overload
	dispatch          dispatch.Outcome  // of asking the dispatcher, on the first attempt
}

func (r *run) runToCompletion(ctx context.Context) *Failure {
	if !r.fitsMemory() {
		r.Logger.Info("request exceeds the memory of a group", "request", r.req.ID, "prompt_tokens", r.req.PromptTokens, "output_tokens", r.req.OutputTokens, "memory_tokens", r.req.Service.Performance.MemoryTokens)
		return r.fail(ExceedsMemory, nil)
	}
	for {
		target, failure := r.pickTarget(ctx)
		if failure != nil {
			return r.sendFallback(failure)
		}
		err := r.attempt(ctx, target)
		if err == nil {
			target.Meter.ObserveSuccess(r.answeredAt)
			target.Meter.ObserveLatency(r.answeredAt.Sub(r.sentAt))
			r.Suspects.Clear(r.subject, r.answeredAt)
			return nil
		}
		if failure := r.handleFailure(ctx, target, err); failure != nil {
			return r.sendFallback(failure)
		}
	}
}

// handleFailure returns nil if another attempt may be made, otherwise the failure
// of the request.
func (r *run) handleFailure(ctx context.Context, target *placement.Target, err error) *Failure {
	if !pathFailed(err) {
		r.excluded[target.Key] = true
	}
	var gone *CallerGoneError
	var tooSlow *SlowReaderError
	if errors.As(err, &tooSlow) {
		r.Logger.Info("caller reads too slowly", "request", r.req.ID, "endpoint", target.ID, "timeout_ms", tooSlow.After.Milliseconds(), "events_limit_bytes", maxWaitingEventBytes, "held_bytes_events", r.Held.Held(heldbytes.Events))
		return &Failure{Reason: SlowReader, Started: r.started, Cause: err}
	}
	if errors.As(err, &gone) {
		return &Failure{Reason: CallerGone, Started: r.started, Cause: err}
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return r.contextFailure(ctx) // the caller cancelled, which is no evidence against the target
	}
	r.recordFailure(target, err)
	if ctx.Err() != nil {
		return r.contextFailure(ctx)
	}
	r.logFailedAttempt(target, err)
	if failure := r.retryDenial(err); failure != nil {
		return failure
	}
	r.Metrics.retried(retryReason(err))
	return nil
}

// recordFailure updates the health of the target after a failed attempt.
func (r *run) recordFailure(target *placement.Target, err error) {
	now := r.answeredAt // a slow caller may have taken what was read before the failure only now
	var notRun *NotRunError
	var notSent *NotSentError
	var broken *BrokenError
	switch {
	case errors.As(err, &notSent) && notSent.Blame != outbound.BlameEndpoint:
		// Shows nothing about the target.
	case errors.As(err, &notRun):
		if notRun.AddressReassigned || notRun.MissingMember != "" {
			target.Meter.ObserveFailure(now)
			r.ReportSuspect(target, notRun.MissingMember, false)
		}
	case errors.As(err, &broken):
		r.possiblyRan++
		r.recordBroken(target, broken, now)
	default:
		target.Meter.ObserveFailure(now)
		if r.req.Service.Grouped() {
			r.ReportSuspect(target, target.ID, false)
		}
	}
}

func (r *run) recordBroken(target *placement.Target, broken *BrokenError, now time.Time) {
	if r.Forwards(nil) && (broken.Reason == Silent || broken.Reason == Slow) {
		return // the way to the target may have failed
	}
	switch broken.Reason {
	case Silent:
		target.Meter.Suspect(now, suspectPeriod)
		r.ReportSuspect(target, "", false)
	case Cut:
		if r.heldBack {
			return // endpoints cut off an answer that is not read
		}
		if suspect.Beginning(r.attemptFirstAt, now) {
			r.Suspects.Add(suspect.Crash{Subject: r.subject, Group: target.CrashKey(), At: now}, now)
		}
		r.recordCut(target, now)
	case Slow, ErrorStatus:
		target.Meter.ObserveFailure(now)
	default:
	}
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
	case isBroken && broken.Reason == Withdrawn:
		return r.fail(CrashSuspect, err)
	case isBroken && !r.req.Route.Repeatable():
		return r.fail(Broken, err)
	case r.possiblyRan >= max(r.req.Route.MaxAttempts, 1):
		return r.fail(Broken, err)
	case r.attempts >= r.req.Route.MaxAttempts+extraSends:
		return r.fail(Refused, err)
	case time.Until(r.req.Deadline) < minRemaining:
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

// contextFailure returns the failure of a request whose context has ended: CallerGone
// if the caller cancelled, otherwise DeadlineExceeded.
func (r *run) contextFailure(ctx context.Context) *Failure {
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
// target has passed without an event. Requests without a body have one fingerprint in common, so that
// it does not tell that this one was refused.
func (r *run) overdue(now time.Time) bool {
	target := r.req.Route.LatencyTarget
	return r.req.Late && len(r.req.Body) > 0 || target > 0 && r.firstAt.IsZero() && now.Sub(r.req.Arrived) > target
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
