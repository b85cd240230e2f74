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
	serving  *view.Serving
	remote   fleet.DataCentre // data centre that runs the attempt; empty for a local group
	isolated bool             // no other crash suspect runs on the group
	release  func()
}

// pick chooses the group of the next attempt.
func (r *run) pick(ctx context.Context) (*target, *refusal.Refusal) {
	subject := suspect.Of(r.req)
	standing := r.Suspects.Standing(subject)
	if standing == suspect.Refused && r.attempts == 0 && r.Suspects.TakeTrial(subject) {
		standing = suspect.Clear
	}
	if standing != suspect.Refused && r.remoteOnly {
		return r.pickRemote()
	}
	switch standing {
	case suspect.Refused:
		return nil, r.deny(retry.CrashSuspect)
	case suspect.Isolated:
		return r.pickIsolated(ctx)
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
	canJoin := func(group fleet.FencingNumber) bool { return r.canJoin(v, group) }
	fencing, release := r.duplicates.begin(r.req.Fingerprint, serving.Fencing, canJoin)
	if fencing != serving.Fencing {
		serving, _ = v.Group(fencing)
	}
	r.excluded[fencing] = true
	r.Metrics.PromptBlocks(len(r.req.BlockHashes), serving.Load.Prompts.CachedBlocks(r.req.BlockHashes, time.Now()))
	return &target{serving: serving, release: release}, nil
}

// canJoin reports whether a request may run on the group of an equal request in
// progress.
func (r *run) canJoin(v *view.View, fencing fleet.FencingNumber) bool {
	now := time.Now()
	serving, ok := v.Group(fencing)
	return ok && !r.excluded[fencing] && serving.Proven(now) && route.HasCapacity(serving, v.At, now)
}

// pickIsolated waits for a group without another crash suspect. While waiting, the
// request does not occupy its slot of the team's concurrency.
func (r *run) pickIsolated(ctx context.Context) (*target, *refusal.Refusal) {
	if !r.Suspects.BeginWait(r.req.Fingerprint) {
		return nil, r.tooManySuspects()
	}
	r.slot.Pause()
	fencing, release, ok := r.Suspects.Isolate(ctx, r.req.Fingerprint, r.candidates)
	r.Suspects.EndWait(r.req.Fingerprint)
	if refused := r.resumeSlot(ctx); refused != nil {
		if ok {
			release()
		}
		return nil, refused
	}
	switch {
	case !ok && r.Suspects.Standing(suspect.Of(r.req)) == suspect.Isolated:
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
	return &target{serving: serving, isolated: true, release: release}, nil
}

// resumeSlot waits until the request's slot in the team's concurrency is granted
// again.
func (r *run) resumeSlot(ctx context.Context) *refusal.Refusal {
	if ctx.Err() != nil {
		return r.contextRefusal(ctx)
	}
	refused := r.slot.Resume(ctx)
	switch {
	case ctx.Err() != nil:
		return r.contextRefusal(ctx)
	case refused != nil:
		return r.refuse(refused.Reason, refused.RetryAfter, refused.Detail)
	default:
		return nil
	}
}

// pickRemote chooses at random another data centre with replicas of the model, or
// refuses the request.
func (r *run) pickRemote() (*target, *refusal.Refusal) {
	if r.Remote == nil || r.req.Forwarded {
		return nil, r.noGroup()
	}
	model, _ := r.Views.Load().Model(r.req.Model)
	reachable := r.Remote.DataCentres()
	for _, i := range rand.Perm(len(reachable)) {
		to := reachable[i]
		if r.triedDataCentres[to] || model.ReplicasIn(to) == 0 {
			continue
		}
		r.triedDataCentres[to] = true
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
	return r.refuse(refusal.NoCompleteGroup, retryAfterNoGroup, fmt.Sprintf("no complete group serves model %q", r.req.Model))
}
