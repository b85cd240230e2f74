package relay

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/refusal"
	"github.com/plantainmux/plantainmux/internal/retry"
	"github.com/plantainmux/plantainmux/internal/route"
	"github.com/plantainmux/plantainmux/internal/suspect"
	"github.com/plantainmux/plantainmux/internal/view"
)

// target is the group of one attempt.
type target struct {
	serving *view.Serving
	remote  fleet.DataCentre // that runs the attempt; empty for a group here
	alone   bool             // no other suspect runs on the group
	release func()
}

// pick chooses the group of the next attempt.
func (r *run) pick(ctx context.Context) (*target, *refusal.Refusal) {
	standing := r.Suspects.Standing(r.req.Fingerprint)
	if standing != suspect.Refused && r.onlyElsewhere {
		return r.pickRemote()
	}
	switch standing {
	case suspect.Refused:
		return nil, r.deny(retry.Suspected)
	case suspect.Isolated:
		return r.pickAlone(ctx)
	default:
		return r.pickShared()
	}
}

func (r *run) pickShared() (*target, *refusal.Refusal) {
	v := r.Views.Load()
	serving, ok := route.Pick(v, r.req, r.excluded)
	if !ok {
		return r.pickRemote()
	}
	joinable := func(group fleet.FencingNumber) bool { return r.joinable(v, group) }
	fencing, release := r.copies.begin(r.req.Fingerprint, serving.Fencing, joinable)
	if fencing != serving.Fencing {
		serving, _ = v.Group(fencing)
	}
	r.excluded[fencing] = true
	r.Metrics.Prompt(len(r.req.Blocks), serving.Load.Prompts.Held(r.req.Blocks, time.Now()))
	return &target{serving: serving, release: release}, nil
}

// joinable reports whether a copy of a request in progress may run on its group.
func (r *run) joinable(v *view.View, fencing fleet.FencingNumber) bool {
	now := time.Now()
	serving, ok := v.Group(fencing)
	return ok && !r.excluded[fencing] && serving.Proven(now) && route.HasRoom(serving, v.At, now)
}

// pickAlone waits for a group without another suspect, outside the team's
// concurrency.
func (r *run) pickAlone(ctx context.Context) (*target, *refusal.Refusal) {
	if !r.Suspects.BeginWait(r.req.Fingerprint) {
		return nil, r.tooManySuspects()
	}
	r.slot.Pause()
	fencing, release, ok := r.Suspects.Isolate(ctx, r.req.Fingerprint, r.candidates)
	r.Suspects.EndWait(r.req.Fingerprint)
	if refused := r.resume(ctx); refused != nil {
		if ok {
			release()
		}
		return nil, refused
	}
	switch {
	case !ok && r.Suspects.Standing(r.req.Fingerprint) == suspect.Isolated:
		return r.pickRemote()
	case !ok:
		return r.pick(ctx)
	}
	serving, ok := r.Views.Load().Group(fencing)
	if !ok {
		release()
		return r.pick(ctx)
	}
	r.excluded[fencing] = true
	return &target{serving: serving, alone: true, release: release}, nil
}

// resume takes the request's place in the team's concurrency again.
func (r *run) resume(ctx context.Context) *refusal.Refusal {
	if ctx.Err() != nil {
		return r.timeOver(ctx)
	}
	refused := r.slot.Resume(ctx)
	switch {
	case ctx.Err() != nil:
		return r.timeOver(ctx)
	case refused != nil:
		return r.refuse(refused.Reason, refused.RetryAfter, refused.Detail)
	default:
		return nil
	}
}

// pickRemote chooses another data centre that is to serve the model, or refuses
// the request.
func (r *run) pickRemote() (*target, *refusal.Refusal) {
	if r.Remote == nil || r.req.Forwarded {
		return nil, r.noGroup()
	}
	model, _ := r.Views.Load().Model(r.req.Model)
	reachable := r.Remote.DataCentres()
	for _, i := range rand.Perm(len(reachable)) {
		to := reachable[i]
		if r.elsewhere[to] || model.ReplicasIn(to) == 0 {
			continue
		}
		r.elsewhere[to] = true
		r.Metrics.Spilled()
		return &target{serving: &view.Serving{Load: &view.Load{}}, remote: to, release: func() {}}, nil
	}
	return nil, r.noGroup()
}

func (r *run) candidates() []fleet.FencingNumber {
	groups := route.Candidates(r.Views.Load(), r.req, r.excluded)
	numbers := make([]fleet.FencingNumber, 0, len(groups))
	for _, serving := range groups {
		numbers = append(numbers, serving.Fencing)
	}
	return numbers
}

func (r *run) noGroup() *refusal.Refusal {
	if r.attempts > 0 {
		return r.deny(retry.NoGroup)
	}
	return r.refuse(refusal.NoCompleteGroup, comeBackNoGroup, fmt.Sprintf("no complete group serves model %q", r.req.Model))
}
