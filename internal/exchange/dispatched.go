package exchange

import (
	"context"
	"slices"
	"time"

	"github.com/plantainmux/plantainmux/internal/dispatch"
	"github.com/plantainmux/plantainmux/internal/overload"
	"github.com/plantainmux/plantainmux/internal/placement"
)

// askDispatcher asks the dispatcher of the data centre which group takes the request, once and
// before the first attempt. It reports whether the answer is to be applied.
func (r *run) askDispatcher(ctx context.Context, targets []*placement.Target) bool {
	if r.Dispatch == nil || r.attempts > 0 || r.dispatch.Asked || r.req.LastEvent != "" || !r.req.Service.Grouped() || r.Forwards(r.req.Allowed) {
		return false
	}
	r.dispatch = r.Dispatch(ctx, r.req, func() (excluded []string, others bool) {
		usable := placement.Usable(targets, r.requirements(time.Now()))
		for _, target := range targets {
			if !slices.Contains(usable, target) {
				excluded = append(excluded, target.Key)
			}
		}
		return excluded, len(usable) > 0
	})
	return r.dispatch.Asked && r.dispatch.Local == ""
}

// applyAnswer does what the dispatcher has answered. It returns neither a target nor a failure if
// this daemon chooses by itself: what it knows of the target forbids it, or it knows of groups that
// a refusal leaves out. The request stays admitted then.
func (r *run) applyAnswer(targets []*placement.Target, now time.Time) (*placement.Target, *Failure) {
	answer := r.dispatch.Answer
	r.decision = overload.Decision{
		Admit: answer.Refused != dispatch.Overload, Limited: answer.Limited, Fraction: answer.Fraction, Load: answer.Load, Demand: answer.Demand, Capacity: answer.Capacity,
	}
	r.Metrics.decided(modelKey{r.req.Service.Name, r.req.Model}, r.decision)
	switch answer.Refused {
	case dispatch.Overload, dispatch.NoRoom:
		return nil, r.reviewRefusal(targets, now)
	default:
	}
	found := slices.IndexFunc(targets, func(target *placement.Target) bool { return target.Key == answer.Target })
	if found < 0 {
		r.dispatch.Local = dispatch.UnknownKey
		return nil, nil
	}
	target := targets[found]
	if len(placement.Usable([]*placement.Target{target}, r.requirements(now))) == 0 || !target.Limit.Take(now) {
		r.dispatch.Local = dispatch.Unusable
		return nil, nil
	}
	return target, nil
}

// refusalReasons are the reasons of requests that a dispatcher refuses.
var refusalReasons = map[dispatch.Refusal]Reason{dispatch.Overload: Overloaded, dispatch.NoRoom: NoCapacity}

// knownGroupsShare is the share of the groups that this daemon can use on which a refusal must rest:
// with fewer, the dispatcher has failures or an old view of its own. Daemons differ in single groups
// at any time.
const knownGroupsShare = 0.75

// reviewRefusal returns the failure of a request that the dispatcher refuses, nil if this daemon
// knows of groups that the refusal leaves out and admits the request.
func (r *run) reviewRefusal(targets []*placement.Target, now time.Time) *Failure {
	answer := r.dispatch.Answer
	usable := len(placement.Usable(targets, r.requirements(now)))
	if answer.Groups > 0 && float64(answer.Groups) < knownGroupsShare*float64(usable) {
		r.dispatch.Local = dispatch.FewerGroups
		if r.admit(targets, now) {
			return nil
		}
		return r.refusedUnderOverload()
	}
	interrupted := func(target *placement.Target) bool { return target.Meter.RecentlyInterrupted(now) }
	if answer.Refused == dispatch.NoRoom && slices.ContainsFunc(targets, interrupted) {
		r.dispatch.Local = dispatch.Interrupted // they have room, and are used once the healthy ones are full
		return nil
	}
	return r.refusedByDispatcher(refusalReasons[answer.Refused])
}

func (r *run) refusedByDispatcher(reason Reason) *Failure {
	failure := r.fail(reason, nil)
	if millis := r.dispatch.Answer.RetryAfterMS; millis > 0 {
		failure.RetryAfter = time.Duration(millis) * time.Millisecond
	}
	return failure
}

// dispatchFields returns the log fields of a request for which dispatchers are used.
func (r *run) dispatchFields() []any {
	if !r.dispatch.Asked {
		return nil
	}
	return []any{"dispatched", r.dispatch.Local == "", "dispatcher", r.dispatch.By, "dispatch_local_reason", r.dispatch.Local}
}
