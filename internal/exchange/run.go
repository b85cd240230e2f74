package exchange

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/plantainmux/plantainmux/internal/placement"
)

const (
	minRemaining   = 30 * time.Millisecond  // below it, no attempt can succeed
	refusedSends   = 2                      // attempts beyond the route's that were proved not to have run
	suspicion      = time.Second            // for which a silent group is passed over
	retryAfterBase = 300 * time.Millisecond // until some of the requests in progress have ended
	retryAfterSpan = 500 * time.Millisecond // over which callers that were refused together come back
)

// run is one request on its way to a whole answer.
type run struct {
	*Exchanger
	req        *Request
	sink       Sink
	excluded   map[string]bool // keys of targets that failed this request
	attempts   int
	ran        int // attempts that may have run
	begun      bool
	events     events
	kept       *keptAnswer         // failure of an endpoint to pass on if nothing better comes
	placed     placement.Situation // at the last choice of a target
	reading    int                 // prompt tokens that the attempt in progress waits for
	loadBefore int                 // of the target, when the last attempt began
	sentAt     time.Time           // when the last attempt began
	firstAt    time.Time           // when the first event or the whole answer came
	longestGap time.Duration
}

func (r *run) untilWhole(ctx context.Context) *Failure {
	for {
		target, failure := r.place(ctx)
		if failure != nil {
			return r.passKept(failure)
		}
		err := r.attempt(ctx, target)
		if err == nil {
			now := time.Now()
			target.Meter.Succeed(now)
			target.Meter.Stayed(now.Sub(r.sentAt))
			r.Killers.Acquit(r.req.Fingerprint)
			return nil
		}
		if failure := r.afterFailure(ctx, target, err); failure != nil {
			return r.passKept(failure)
		}
	}
}

// place returns the target of the next attempt.
func (r *run) place(ctx context.Context) (*placement.Target, *Failure) {
	now := time.Now()
	if r.Killers.Refuse(r.req.Fingerprint, now) {
		return nil, r.fail(Killer, nil)
	}
	if ctx.Err() != nil {
		return nil, r.timeOver(ctx)
	}
	targets := r.View().Targets(r.req.Service.Name, r.req.Model)
	target, reason := placement.Pick(targets, placement.Demand{
		Zone:     r.Zone,
		Grouped:  r.req.Service.Grouped(),
		Late:     r.req.Late && r.attempts == 0,
		Resumed:  r.begun,
		Prompt:   r.req.Prompt,
		Urgency:  r.req.Urgency,
		Daemons:  r.Daemons(),
		Delay:    r.Delay(),
		Random:   rand.Float64(),
		Excluded: r.excluded,
		Now:      now,
	})
	r.placed = placement.Survey(targets, now)
	switch reason {
	case placement.NoTarget:
		return nil, r.fail(NoTarget, nil)
	case placement.NoRoom:
		return nil, r.fail(NoRoom, nil)
	default:
		return target, nil
	}
}

// afterFailure returns nil if another attempt may be made, or the failure of
// the request.
func (r *run) afterFailure(ctx context.Context, target *placement.Target, err error) *Failure {
	r.excluded[target.Key] = true
	var gone *CallerGoneError
	if errors.As(err, &gone) {
		return &Failure{Reason: CallerGone, Begun: r.begun, Cause: err}
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return r.timeOver(ctx) // the caller broke the attempt off: that tells nothing of the target
	}
	r.note(target, err)
	if ctx.Err() != nil {
		return r.timeOver(ctx)
	}
	r.logFailedAttempt(target, err)
	if failure := r.mayRepeat(err); failure != nil {
		return failure
	}
	r.Metrics.retried(retryReason(err))
	return nil
}

// note learns from a failure.
func (r *run) note(target *placement.Target, err error) {
	now := time.Now()
	var notRun *NotRunError
	var broken *BrokenError
	switch {
	case errors.As(err, &notRun):
		if notRun.Elsewhere || notRun.Fault != "" {
			target.Meter.Fail(now)
			r.Doubt(target, notRun.Fault, false)
		}
	case errors.As(err, &broken):
		r.ran++
		r.noteBreak(target, broken, now)
	default:
		target.Meter.Fail(now)
		if r.req.Service.Grouped() {
			r.Doubt(target, target.ID, false)
		}
	}
}

func (r *run) noteBreak(target *placement.Target, broken *BrokenError, now time.Time) {
	switch broken.Reason {
	case Silent:
		target.Meter.Suspect(now, suspicion)
		r.Doubt(target, "", false)
	case Cut:
		r.Killers.Blame(r.req.Fingerprint, now)
		r.noteCut(target, now)
	case Slow, Faulty:
		target.Meter.Fail(now)
	default:
	}
}

// noteCut learns from a connection that broke.
func (r *run) noteCut(target *placement.Target, now time.Time) {
	if r.req.Service.Grouped() {
		target.Meter.Broke(now)
		return
	}
	target.Meter.Fail(now)
}

// mayRepeat returns why no other attempt may be made, nil if one may.
func (r *run) mayRepeat(err error) *Failure {
	var notSent *NotSentError
	var broken *BrokenError
	isBroken := errors.As(err, &broken)
	switch {
	case isBroken && !r.req.Route.Repeatable():
		return r.fail(Broken, err)
	case r.ran >= max(r.req.Route.MaxAttempts, 1):
		return r.fail(Broken, err)
	case r.attempts >= r.req.Route.MaxAttempts+refusedSends:
		return r.fail(Refused, err)
	case time.Until(r.req.Deadline) < minRemaining:
		return r.fail(TimeOver, err)
	case errors.As(err, &notSent):
		return nil // nothing arrived at the endpoint
	case !r.budget(r.req.Service.Name).Take(time.Now(), r.Daemons()):
		return r.fail(NoBudget, err)
	default:
		return nil
	}
}

func (r *run) fail(reason Reason, cause error) *Failure {
	return &Failure{Reason: reason, NotRun: r.ran == 0, Begun: r.begun, RetryAfter: retryAfter(), Cause: cause}
}

func (r *run) timeOver(ctx context.Context) *Failure {
	if errors.Is(ctx.Err(), context.Canceled) {
		return &Failure{Reason: CallerGone, Begun: r.begun, Cause: context.Cause(ctx)}
	}
	return r.fail(TimeOver, context.Cause(ctx))
}

// retryAfter spreads the callers that were refused together.
func retryAfter() time.Duration {
	return retryAfterBase + time.Duration(rand.Int64N(int64(retryAfterSpan)))
}

func (r *run) firstAfter() time.Duration {
	if r.firstAt.IsZero() {
		return 0
	}
	return r.firstAt.Sub(r.req.Arrived)
}

func (r *run) logFailedAttempt(target *placement.Target, err error) {
	r.Logger.Info("attempt failed", "request", r.req.ID, "route", r.req.Route.Name, "attempt", r.attempts, "endpoint", target.ID,
		"group", target.Group, "epoch", target.Epoch, "load", target.Meter.Load(), "reason", retryReason(err), "error", err,
		"begun", r.begun, "after", r.events.last, "elapsed_ms", time.Since(r.req.Arrived).Milliseconds())
}

// retryReason names a failed attempt in logs and metrics.
func retryReason(err error) string {
	var notSent *NotSentError
	var notRun *NotRunError
	var broken *BrokenError
	switch {
	case errors.As(err, &notSent):
		return "not_sent"
	case errors.As(err, &notRun):
		return "not_run"
	case errors.As(err, &broken):
		return string(broken.Reason)
	default:
		return "other"
	}
}

// late reports whether the answer missed its objective, or paused for too long.
func (r *run) late() bool {
	route := r.req.Route
	return route.Objective > 0 && r.firstAfter() > route.Objective || route.GapLimit > 0 && r.longestGap > route.GapLimit
}
