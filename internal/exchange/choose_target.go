package exchange

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/plantainmux/plantainmux/internal/placement"
	"github.com/plantainmux/plantainmux/internal/suspect"
)

// pickTarget returns the target of the next attempt, or the failure if there is none.
func (r *run) pickTarget(ctx context.Context) (*placement.Target, *Failure) {
	now := time.Now()
	if r.refused(now) {
		failure := r.fail(CrashSuspect, nil)
		failure.RetryAfter = r.Suspects.RetryAfter(r.subject, now)
		return nil, failure
	}
	if failure := r.ended(ctx); failure != nil {
		return nil, failure
	}
	view := r.View()
	targets := view.Targets(r.req.Service.Name, r.req.Model)
	answered := r.askDispatcher(ctx, targets)
	if failure := r.ended(ctx); r.dispatch.Asked && failure != nil {
		return nil, failure
	}
	if r.dispatch.Asked && r.attempts == 0 { // the call takes time, in which a data centre may have been evacuated
		now = time.Now()
		view = r.View()
		targets = view.Targets(r.req.Service.Name, r.req.Model)
	}
	if answered {
		target, failure := r.applyAnswer(targets, now)
		if target != nil || failure != nil {
			r.summary = placement.Summarize(targets, now)
			return target, failure
		}
	} else if !r.admit(targets, now) {
		r.summary = placement.Summarize(targets, now)
		return nil, r.refusedUnderOverload()
	}
	target, reason := r.place(targets, view.Evacuates(r.req.Service.Name, r.req.Model), now)
	r.summary = placement.Summarize(targets, now)
	switch reason {
	case placement.NoTarget:
		return nil, r.fail(NoTarget, nil)
	case placement.NoCapacity:
		return nil, r.fail(NoCapacity, nil)
	case placement.Evacuated:
		failure := r.fail(Evacuated, nil)
		failure.RetryAfter = restrictedRetryAfter + retryJitter()
		return nil, failure
	case placement.HeldBack:
		failure := r.fail(HeldBack, nil)
		allowed := placement.InAllowedRegions(targets, placement.Requirements{Allowed: r.req.Allowed, Regions: r.Regions})
		failure.RetryAfter = max(failure.RetryAfter, placement.HeldFor(allowed, now)+retryJitter())
		return nil, failure
	case placement.NoAllowedRegion:
		failure := r.fail(NoAllowedRegion, nil)
		failure.RetryAfter = restrictedRetryAfter + retryJitter()
		return nil, failure
	default:
		return target, nil
	}
}

// ended returns the failure of a request that nobody waits for any more, otherwise nil. After an
// attempt the connection itself is asked: this process may have stood still, and then goes on before the
// server has noticed that the caller left.
func (r *run) ended(ctx context.Context) *Failure {
	switch {
	case ctx.Err() != nil:
		return r.contextFailure(ctx)
	case !time.Now().Before(r.req.Deadline): // the context ends a margin later, for answers that have arrived
		return r.fail(DeadlineExceeded, nil)
	case r.attempts > 0 && r.CallerLeft != nil && r.CallerLeft(ctx):
		return &Failure{Reason: CallerGone, Started: r.started}
	default:
		return nil
	}
}

// place chooses a target and counts the request against its limit.
func (r *run) place(targets []*placement.Target, evacuated bool, now time.Time) (*placement.Target, placement.Reason) {
	forwarded := r.Forwards(r.req.Allowed)
	for range len(targets) + 1 {
		requirements := r.requirements(now)
		requirements.Forwarded, requirements.Evacuated = forwarded, evacuated
		target, reason := placement.Pick(targets, requirements)
		if target == nil || forwarded || target.Limit.Take(now) {
			return target, reason
		} // another request has taken the last one, so that Pick passes the target over
	}
	return nil, placement.HeldBack
}

// requirements returns those of the next attempt, through this daemon.
func (r *run) requirements(now time.Time) placement.Requirements {
	return placement.Requirements{
		DataCentre:   r.DataCentre,
		Grouped:      r.req.Service.Grouped(),
		Late:         r.req.Late && r.attempts == 0,
		Overdue:      r.overdue(now),
		Resumed:      r.started,
		Admitted:     r.decision.Limited,
		PromptTokens: r.req.PromptTokens,
		OutputTokens: r.req.OutputTokens,
		Priority:     r.req.Priority,
		Daemons:      r.Daemons(),
		GossipDelay:  r.GossipDelay(),
		Random:       rand.Float64(),
		Excluded:     r.excluded,
		Now:          now,
		Allowed:      r.req.Allowed,
		Regions:      r.Regions,
	}
}

// refused reports whether the request must not run because it, or a part of its prompt, crashed
// endpoints.
func (r *run) refused(now time.Time) bool {
	if r.Suspects.Standing(r.subject, now) != suspect.Refused {
		return false
	}
	r.Suspects.Extend(r.subject, now)
	r.trial.Store(r.attempts == 0 && r.Suspects.TakeTrial(r.subject, now, r.OwnsTrial))
	return !r.trial.Load()
}
