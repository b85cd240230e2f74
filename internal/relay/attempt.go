package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/plantainmux/plantainmux/internal/endpoint"
	"github.com/plantainmux/plantainmux/internal/metric"
)

const (
	maxResumes  = 4 // resumes of one attempt without a new frame between them
	resumeDelay = 20 * time.Millisecond
)

// attempt is one attempt at a request on one group.
type attempt struct {
	*run
	target  *target
	frames  sequence
	skipped *xxhash.Digest // of the frames that the caller has from an earlier attempt
	dog     *watchdog
	recall  *recall
	sent    bool // bytes may have reached the endpoint
	started time.Time
	first   time.Time // of the first frame
}

func newAttempt(r *run, t *target, id string) *attempt {
	return &attempt{run: r, target: t, frames: sequence{attempt: id}, started: time.Now()}
}

// make brings the rest of the answer, resuming the stream where the endpoint
// still holds it.
func (a *attempt) make(ctx context.Context) error {
	ctx, giveUp := context.WithCancelCause(ctx)
	defer giveUp(nil)
	a.dog = startWatchdog(a.frames.attempt, a.target.serving.Fencing, a.Views, giveUp)
	defer a.dog.stop()
	a.recall = &recall{attempt: a.frames.attempt, giveUp: giveUp}
	if !a.target.alone && a.target.remote == "" {
		a.recalls.add(a.req.Fingerprint, a.recall)
		defer a.recalls.remove(a.req.Fingerprint, a.recall)
	}
	err := a.streamUntilDone(ctx)
	if err != nil {
		err = whyGivenUp(ctx, err)
	}
	a.end(err)
	return err
}

// whyGivenUp returns why an attempt was given up, or err when it was not.
func whyGivenUp(ctx context.Context, err error) error {
	cause := context.Cause(ctx)
	var stalled *StalledError
	var recalled *RecalledError
	if errors.As(cause, &stalled) || errors.As(cause, &recalled) {
		return cause
	}
	return err
}

func (a *attempt) streamUntilDone(ctx context.Context) error {
	fruitless := 0
	for {
		before := a.frames.next
		err := a.stream(ctx)
		if err == nil || !a.resumable(ctx, err) {
			return err
		}
		if a.frames.next > before {
			fruitless = 0
		}
		fruitless++
		if fruitless > maxResumes {
			return err
		}
		a.Metrics.Resumed()
		time.Sleep(time.Duration(rand.Float64() * float64(resumeDelay)))
	}
}

// resumable reports whether the endpoint may still hold an attempt whose
// stream failed.
func (a *attempt) resumable(ctx context.Context, err error) bool {
	if ctx.Err() != nil || a.target.remote != "" {
		return false
	}
	if isStatus(err) {
		return false
	}
	var broken *endpoint.BrokenError
	var gap *GapError
	return errors.As(err, &broken) || errors.As(err, &gap)
}

// stream opens the stream from the due frame on and passes its frames on.
func (a *attempt) stream(ctx context.Context) error {
	a.dog.await()
	stream, err := a.open(ctx)
	if err != nil {
		return a.openFailure(err)
	}
	a.sent = true
	defer func() { _ = stream.Close() }()
	return a.copyFrames(stream)
}

func (a *attempt) open(ctx context.Context) (endpoint.Stream, error) {
	if a.target.remote != "" {
		return a.Remote.Generate(ctx, a.target.remote, a.req, a.frames.attempt)
	}
	return a.Engine.Generate(ctx, a.target.serving.LeaderAddress, endpoint.GenerateRequest{
		Attempt:    a.frames.attempt,
		Group:      a.target.serving.Fencing,
		Model:      a.req.Model,
		Adapter:    a.req.Adapter,
		Priority:   a.req.Priority,
		Body:       a.req.Body,
		ResumeFrom: a.frames.next,
		CacheAfter: a.target.serving.Load.Prompts.Applied(),
	})
}

// openFailure tells an endpoint that lost the attempt, because its process
// ended, from one that never had it.
func (a *attempt) openFailure(err error) error {
	var broken *endpoint.BrokenError
	if errors.As(err, &broken) {
		a.sent = true
		return err
	}
	if a.sent && provesDeath(err) {
		return &DiedError{Attempt: a.frames.attempt, Err: err}
	}
	if a.sent {
		return &endpoint.BrokenError{Address: a.target.serving.LeaderAddress, Err: err}
	}
	return err
}

func provesDeath(err error) bool {
	var lost *endpoint.AttemptLostError
	if errors.As(err, &lost) {
		return true
	}
	var notRun *endpoint.NotRunError
	if errors.As(err, &notRun) {
		return notRun.Code == endpoint.CodeWrongGroup || notRun.Code == endpoint.CodeNotReady
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// copyFrames passes on the frames of the attempt until its end marker.
func (a *attempt) copyFrames(stream endpoint.Stream) error {
	held := false
	for {
		if held && !stream.Buffered() {
			if err := a.sink.Flush(); err != nil {
				return &SinkError{Err: err}
			}
			held = false
		}
		frame, err := a.next(stream)
		if err != nil {
			return err
		}
		fault := a.frames.check(frame)
		if fault != noFault {
			a.Metrics.FrameFaulty(fault)
		}
		if fault == metric.OtherAttempt {
			a.Observer.ForeignFrame()
		}
		if fault == metric.Gap {
			return &GapError{Attempt: a.frames.attempt, Want: a.frames.next, Got: frame.Index}
		}
		if fault != noFault {
			continue
		}
		if err := a.accept(frame); err != nil {
			return err
		}
		held = true
		if frame.Done {
			return a.flushLast()
		}
	}
}

func (a *attempt) flushLast() error {
	if err := a.sink.Flush(); err != nil {
		return &SinkError{Err: err}
	}
	return nil
}

func (a *attempt) next(stream endpoint.Stream) (endpoint.Frame, error) {
	a.dog.await()
	frame, err := stream.Next()
	a.dog.rest()
	return frame, err
}

// accept passes on the frame that is due, unless an earlier attempt already
// brought it.
func (a *attempt) accept(frame endpoint.Frame) error {
	if a.frames.next == 0 {
		if !a.recall.begin() {
			return a.recall.failure()
		}
		a.first = time.Now()
		a.target.serving.Load.SawFirstToken(a.first.Sub(a.started))
		a.learnCache(frame.Cache)
	}
	frame.Cache = nil
	a.frames.next++
	if a.frames.next > a.delivered {
		return a.take(frame)
	}
	return a.skip(frame)
}

// learnCache takes what the first frame tells of the engine's prefix cache.
func (a *attempt) learnCache(events *endpoint.CacheEvents) {
	if a.target.remote != "" {
		return
	}
	if events != nil {
		a.Metrics.CacheEvents(len(events.Events))
	}
	if a.target.serving.Load.Prompts.Learn(a.req.Blocks, events, a.first) {
		a.Metrics.CacheGap()
	}
}

// skip compares a frame that the caller already has with what it got.
func (a *attempt) skip(frame endpoint.Frame) error {
	if a.skipped == nil {
		a.skipped = xxhash.New()
	}
	_, _ = a.skipped.WriteString(frame.Text)
	last := a.frames.next == a.delivered
	if frame.Done || last && a.skipped.Sum64() != a.digest.Sum64() {
		return &DivergedError{Attempt: a.frames.attempt}
	}
	return nil
}

// end notes the pace of a whole answer and cancels a lost one.
func (a *attempt) end(err error) {
	if err == nil {
		a.notePace()
		return
	}
	var died *DiedError
	if a.target.remote != "" {
		return // the other data centre cancels when its stream is closed
	}
	if a.sent && !errors.As(err, &died) {
		a.canceller.cancel(a.target.serving.LeaderAddress, a.frames.attempt)
	}
}

func (a *attempt) notePace() {
	now := time.Now()
	load := a.target.serving.Load
	load.SawAnswer(now.Sub(a.started))
	if a.frames.next > 1 {
		load.SawNextToken(now.Sub(a.first) / time.Duration(a.frames.next-1))
	}
}
