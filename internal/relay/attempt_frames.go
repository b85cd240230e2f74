package relay

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/plantainmux/plantainmux/internal/endpoint"
	"github.com/plantainmux/plantainmux/internal/metric"
	"github.com/plantainmux/plantainmux/internal/suspect"
)

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
