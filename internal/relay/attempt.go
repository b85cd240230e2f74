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
	"github.com/plantainmux/plantainmux/internal/outbound"
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

func (a *attempt) open(ctx context.Context) (endpoint.Stream, error) {
	if a.target.remote != "" {
		return a.Remote.Generate(ctx, a.target.remote, a.req, a.frames.attempt)
	}
	return a.Engine.Generate(outbound.WithRequestID(ctx, a.req.ID), a.target.serving.LeaderAddress, endpoint.GenerateRequest{
		Attempt:    a.frames.attempt,
		Group:      a.target.serving.Fencing,
		Model:      a.req.Model,
		Adapter:    a.req.Adapter,
		Priority:   a.req.Priority,
		Body:       a.req.Body,
		ResumeFrom: a.frames.next,
		CacheAfter: a.target.serving.Load.Prompts.LastApplied(),
	})
}

// classifyOpenError distinguishes an endpoint that lost the attempt because its
// process ended from one that never received it.
func (a *attempt) classifyOpenError(err error) error {
	var broken *endpoint.BrokenError
	if errors.As(err, &broken) {
		a.sent = true
		return err
	}
	if a.sent && showsProcessExit(err) {
		return &DiedError{Attempt: a.frames.attempt, Err: err}
	}
	if a.sent {
		return &endpoint.BrokenError{Address: a.target.serving.LeaderAddress, Err: err}
	}
	return err
}

func showsProcessExit(err error) bool {
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

// copyFrames forwards the frames of the attempt up to the end marker.
func (a *attempt) copyFrames(stream endpoint.Stream) error {
	unflushed := false
	for {
		if unflushed && !stream.Buffered() {
			if err := a.sink.Flush(); err != nil {
				return &SinkError{Err: err}
			}
			unflushed = false
		}
		frame, err := a.nextFrame(stream)
		if err != nil {
			return err
		}
		fault := a.frames.check(frame)
		if fault != noFault {
			a.Metrics.FaultyFrame(fault)
		}
		if fault == metric.OtherAttempt {
			a.Observer.MisroutedFrame()
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
		unflushed = true
		if frame.Done {
			return a.flush()
		}
	}
}

func (a *attempt) flush() error {
	if err := a.sink.Flush(); err != nil {
		return &SinkError{Err: err}
	}
	return nil
}

func (a *attempt) nextFrame(stream endpoint.Stream) (endpoint.Frame, error) {
	a.watchdog.startWaiting()
	frame, err := stream.Next()
	a.watchdog.recordFrame()
	return frame, err
}

// accept forwards the next expected frame unless an earlier attempt already
// delivered it.
func (a *attempt) accept(frame endpoint.Frame) error {
	if a.frames.next == 0 {
		if !a.recall.recordFirstFrame() {
			return a.recall.failure()
		}
		a.firstAt = time.Now()
		a.firstFrameAt = a.firstAt
		a.target.serving.Load.RecordFirstToken(a.firstAt.Sub(a.started))
		a.updatePromptIndex(frame.Cache)
	}
	frame.Cache = nil
	a.frames.next++
	if !a.pastBeginning && !suspect.Beginning(a.firstFrameAt, time.Now()) {
		a.pastBeginning = true
		a.clearParts()
	}
	if a.frames.next > a.delivered {
		return a.deliver(frame)
	}
	return a.skipDelivered(frame)
}

// clearParts records that the prompt's parts let the group write.
func (a *attempt) clearParts() {
	if a.target.remote == "" {
		a.Suspects.Clear(suspect.Subject{Parts: a.req.PartHashes})
	}
}

// updatePromptIndex applies the cache events of the first frame to the index of the
// engine's prefix cache.
func (a *attempt) updatePromptIndex(events *endpoint.CacheEvents) {
	if a.target.remote != "" {
		return
	}
	if events != nil {
		a.Metrics.CacheEvents(len(events.Events))
	}
	if a.target.serving.Load.Prompts.Update(a.req.BlockHashes, events, a.firstAt) {
		a.Metrics.CacheGap()
	}
}

// skipDelivered checks a frame against those already delivered to the caller without
// sending it again.
func (a *attempt) skipDelivered(frame endpoint.Frame) error {
	if a.skippedDigest == nil {
		a.skippedDigest = xxhash.New()
	}
	_, _ = a.skippedDigest.WriteString(frame.Text)
	last := a.frames.next == a.delivered
	if frame.Done || last && a.skippedDigest.Sum64() != a.digest.Sum64() {
		return &DivergedError{Attempt: a.frames.attempt}
	}
	return nil
}

// finish records the latency of a complete answer, or cancels a failed attempt at
// its endpoint.
func (a *attempt) finish(err error) {
	if err == nil {
		a.recordLatency()
		return
	}
	var died *DiedError
	if a.target.remote != "" {
		return // closing the stream makes the other data centre cancel the attempt
	}
	if a.sent && !errors.As(err, &died) {
		a.canceller.cancel(a.target.serving.LeaderAddress, a.frames.attempt)
	}
}

func (a *attempt) recordLatency() {
	now := time.Now()
	load := a.target.serving.Load
	load.RecordAnswer(now.Sub(a.started))
	if a.frames.next > 1 {
		load.RecordNextToken(now.Sub(a.firstAt) / time.Duration(a.frames.next-1))
	}
}
