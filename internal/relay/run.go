package relay

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/plantainmux/plantainmux/internal/endpoint"
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/refusal"
	"github.com/plantainmux/plantainmux/internal/request"
	"github.com/plantainmux/plantainmux/internal/retry"
)

// run is one request on its way to a whole answer.
type run struct {
	*Relay
	req           *request.Request
	sink          Sink
	slot          Slot
	deterministic bool
	excluded      map[fleet.FencingNumber]bool // groups that failed this request
	elsewhere     map[fleet.DataCentre]bool    // data centres that failed this request
	onlyElsewhere bool                         // the own data centre has no capacity for it
	attempts      int
	delivered     int            // frames that the sink has
	digest        *xxhash.Digest // of the delivered frames; nil while there is none
	mayHaveRun    bool
	ended         bool // the sink has the end marker
	lastFailure   retry.Reason
}

// observed runs the request and tells the observer what became of it.
func (r *run) observed(ctx context.Context) *refusal.Refusal {
	refused := r.untilWhole(ctx)
	switch {
	case refused == nil:
		r.Observer.Answered(r.ended)
	case refused.Outcome == refusal.NotRun && r.mayHaveRun:
		r.Observer.RanNotRun()
	}
	return refused
}

func (r *run) untilWhole(ctx context.Context) *refusal.Refusal {
	for {
		target, refused := r.pick(ctx)
		if refused != nil {
			return refused
		}
		err := r.try(ctx, target)
		target.release()
		if err == nil {
			r.succeeded(target)
			return nil
		}
		if refused := r.afterFailure(ctx, err); refused != nil {
			return refused
		}
	}
}

func (r *run) succeeded(t *target) {
	r.budget.Earn()
	r.Metrics.Frames(r.delivered)
	if t.alone {
		r.Suspects.Acquit(r.req.Fingerprint)
	}
}

// try makes one attempt.
func (r *run) try(ctx context.Context, t *target) error {
	r.attempts++
	r.Metrics.Attempted()
	t.serving.Load.Begin()
	defer t.serving.Load.End()
	started := time.Now()
	if t.remote == "" {
		r.Observer.AttemptStarted(t.serving, started)
	}
	err := newAttempt(r, t, fmt.Sprintf("%s.%d", r.req.ID, r.attempts)).make(ctx)
	if err != nil && ctx.Err() == nil {
		r.noteFailure(t, err)
	}
	return err
}

// noteFailure tells the watchers and the suspects what an attempt showed.
func (r *run) noteFailure(t *target, err error) {
	var recalled *RecalledError
	if errors.As(err, &recalled) {
		delete(r.excluded, t.serving.Fencing) // it did not fail
	}
	if isOwnFault(err) || t.remote != "" {
		return
	}
	now := time.Now()
	t.serving.Load.SawFailure(now)
	reason := retry.ReasonOf(err)
	if reason == retry.NotRun {
		return
	}
	if reason == retry.Died || reason == retry.Stalled && groupDied(r.Views.Load(), t.serving.Fencing) {
		r.Metrics.Crashed()
		r.Suspects.Crashed(r.req.Fingerprint, t.serving.Fencing, t.alone)
	}
	if !isStatus(err) {
		r.Failed(t.serving.Leader(), now)
	}
}

// afterFailure waits before the next attempt, or returns the final refusal.
func (r *run) afterFailure(ctx context.Context, err error) *refusal.Refusal {
	reason := retry.ReasonOf(err)
	r.mayHaveRun = r.mayHaveRun || reason.MayHaveRun()
	r.lastFailure = reason
	if refused := r.finalFailure(ctx, err); refused != nil {
		return refused
	}
	delay, denial := retry.Decide(r.failure(), r.budget, rand.Float64())
	if denial != retry.Allowed {
		return r.deny(denial)
	}
	r.Metrics.Retried(reason)
	select {
	case <-ctx.Done():
		return r.timeOver(ctx)
	case <-time.After(delay):
		return nil
	}
}

func (r *run) failure() retry.Failure {
	restarted := r.sink.Restart()
	if restarted {
		r.delivered = 0
		r.digest = nil
	}
	return retry.Failure{
		Attempts:    r.attempts,
		Delivered:   !restarted,
		Continuable: r.deterministic,
		Now:         time.Now(),
		Deadline:    r.req.Deadline,
	}
}

// take passes a frame of an attempt on.
func (r *run) take(frame endpoint.Frame) error {
	if err := r.sink.Frame(frame); err != nil {
		return &SinkError{Err: err}
	}
	r.delivered++
	r.ended = frame.Done
	if r.deterministic {
		if r.digest == nil {
			r.digest = xxhash.New()
		}
		_, _ = r.digest.WriteString(frame.Text)
	}
	return nil
}
