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
	"github.com/plantainmux/plantainmux/internal/suspect"
)

// run is the state of one request until its answer is complete.
type run struct {
	*Relay
	req              *request.Request
	sink             Sink
	slot             Slot
	deterministic    bool
	excluded         map[fleet.FencingNumber]bool // groups that failed this request
	triedDataCentres map[fleet.DataCentre]bool    // data centres that failed this request
	remoteOnly       bool                         // the local data centre refused the request
	attempts         int
	delivered        int            // frames that the sink received
	digest           *xxhash.Digest // of the delivered frames; nil if there are none or the model is not deterministic
	mayHaveRun       bool
	firstFrameAt     time.Time // of the current attempt; zero: none yet
	pastBeginning    bool      // the current attempt has been writing for a while
	ended            bool      // the sink received the end marker
	lastFailure      retry.Reason
}

// runObserved runs the request and reports the outcome to the observer.
func (r *run) runObserved(ctx context.Context) *refusal.Refusal {
	refused := r.runToCompletion(ctx)
	switch {
	case refused == nil:
		r.Observer.AnswerDone(r.ended)
	case refused.Outcome == refusal.NotRun && r.mayHaveRun:
		r.Observer.NotRunContradicted()
	}
	return refused
}

func (r *run) runToCompletion(ctx context.Context) *refusal.Refusal {
	for {
		target, refused := r.pick(ctx)
		if refused != nil {
			return refused
		}
		err := r.runAttempt(ctx, target)
		target.release()
		if err == nil {
			r.recordSuccess(target)
			return nil
		}
		if refused := r.handleFailure(ctx, err); refused != nil {
			return refused
		}
	}
}

func (r *run) recordSuccess(t *target) {
	r.budget.Earn()
	r.Metrics.Frames(r.delivered)
	r.clearSuspicion(t)
}

// clearSuspicion records that the request was answered, or has been writing for a while. Only if it
// ran isolated does that show that the request as a whole crashes no group.
func (r *run) clearSuspicion(t *target) {
	answered := suspect.Subject{Parts: r.req.PartHashes}
	if t.isolated {
		answered.Fingerprint = r.req.Fingerprint
	}
	r.Suspects.Clear(answered)
}

// runAttempt makes one attempt.
func (r *run) runAttempt(ctx context.Context, t *target) error {
	r.attempts++
	r.Metrics.Attempted()
	t.serving.Load.Begin()
	defer t.serving.Load.End()
	started := time.Now()
	r.firstFrameAt, r.pastBeginning = time.Time{}, false
	if t.remote == "" {
		r.Observer.AttemptStarted(t.serving, started)
	}
	err := newAttempt(r, t, fmt.Sprintf("%s.%d", r.req.ID, r.attempts)).execute(ctx)
	if err != nil && ctx.Err() == nil {
		r.recordFailure(t, err)
	}
	return err
}

// recordFailure updates load, crash suspects and member health after a failed attempt.
func (r *run) recordFailure(t *target, err error) {
	var recalled *RecalledError
	if errors.As(err, &recalled) || pathFailed(err) {
		delete(r.excluded, t.serving.Fencing) // the group did not fail
	}
	if isNotEndpointFault(err) || t.remote != "" {
		return
	}
	now := time.Now()
	t.serving.Load.RecordFailure(now)
	reason := retry.ReasonOf(err)
	if reason == retry.NotRun {
		return
	}
	if reason == retry.ProcessExited || reason == retry.Stalled && groupLostMember(r.Views.Load(), t.serving.Fencing) {
		r.Metrics.Crashed()
		crashed := suspect.Of(r.req)
		if !suspect.Beginning(r.firstFrameAt, now) {
			crashed.Parts = nil
		}
		r.Suspects.RecordCrash(crashed, t.serving.Fencing, t.isolated)
	}
	if !hasStatus(err) {
		r.MemberFailed(t.serving.Leader(), now)
	}
}

// handleFailure waits for the retry delay, or returns the final refusal.
func (r *run) handleFailure(ctx context.Context, err error) *refusal.Refusal {
	reason := retry.ReasonOf(err)
	r.mayHaveRun = r.mayHaveRun || reason.MayHaveRun()
	r.lastFailure = reason
	if refused := r.terminalRefusal(ctx, err); refused != nil {
		return refused
	}
	delay, denial := retry.Decide(r.retryFailure(), r.budget, rand.Float64())
	if denial != retry.Allowed {
		return r.deny(denial)
	}
	r.Metrics.Retried(reason)
	select {
	case <-ctx.Done():
		return r.contextRefusal(ctx)
	case <-time.After(delay):
		return nil
	}
}

func (r *run) retryFailure() retry.Failure {
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

// deliver sends a frame to the sink.
func (r *run) deliver(frame endpoint.Frame) error {
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
