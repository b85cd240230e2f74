package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/plantainmux/plantainmux/internal/endpoint"
	"github.com/plantainmux/plantainmux/internal/suspect"
)

const (
	maxResumes  = 4                     // consecutive resumes of one attempt without a new frame
	resumeDelay = 20 * time.Millisecond // upper bound of the jitter before a resume
)

// attempt is one attempt of a request on one group.
type attempt struct {
	*run
	target        *target
	frames        sequence
	skippedDigest *xxhash.Digest // digest of the frames that an earlier attempt delivered
	watchdog      *watchdog
	recall        *recall
	sent          bool // bytes may have reached the endpoint
	started       time.Time
	firstAt       time.Time // arrival of the first frame
}

func newAttempt(r *run, t *target, id string) *attempt {
	return &attempt{run: r, target: t, frames: sequence{attempt: id}, started: time.Now()}
}

// execute receives the rest of the answer. It resumes a broken stream if the endpoint
// may still have the attempt.
func (a *attempt) execute(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	a.watchdog = startWatchdog(a.frames.attempt, a.target.serving.Fencing, a.Views, cancel)
	defer a.watchdog.stop()
	a.recall = &recall{attempt: a.frames.attempt, cancel: cancel}
	if !a.target.isolated && a.target.remote == "" {
		traits := suspect.Of(a.req).Traits()
		a.recalls.add(traits, a.recall)
		defer a.recalls.remove(traits, a.recall)
	}
	err := a.streamWithResumes(ctx)
	if err != nil {
		err = cancelCause(ctx, err)
	}
	a.finish(err)
	return err
}

// cancelCause returns the reason why this daemon cancelled the attempt, or err if it
// did not.
func cancelCause(ctx context.Context, err error) error {
	cause := context.Cause(ctx)
	var stalled *StalledError
	var recalled *RecalledError
	if errors.As(cause, &stalled) || errors.As(cause, &recalled) {
		return cause
	}
	return err
}

func (a *attempt) streamWithResumes(ctx context.Context) error {
	failedResumes := 0
	for {
		before := a.frames.next
		err := a.stream(ctx)
		if err == nil || !a.resumable(ctx, err) {
			return err
		}
		if a.frames.next > before {
			failedResumes = 0
		}
		failedResumes++
		if failedResumes > maxResumes {
			return err
		}
		a.Metrics.Resumed()
		time.Sleep(time.Duration(rand.Float64() * float64(resumeDelay)))
	}
}

// resumable reports whether the endpoint may still have an attempt whose stream
// failed.
func (a *attempt) resumable(ctx context.Context, err error) bool {
	if ctx.Err() != nil || a.target.remote != "" {
		return false
	}
	if hasStatus(err) {
		return false
	}
	var broken *endpoint.BrokenError
	var gap *GapError
	return errors.As(err, &broken) || errors.As(err, &gap)
}

// stream opens the stream from the next expected frame and forwards its frames.
func (a *attempt) stream(ctx context.Context) error {
	a.watchdog.startWaiting()
	stream, err := a.open(ctx)
	if err != nil {
		return a.classifyOpenError(err)
	}
	a.sent = true
	defer func() { _ = stream.Close() }()
	return a.copyFrames(stream)
}
