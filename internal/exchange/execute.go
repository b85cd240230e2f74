package exchange

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/plantainmux/plantainmux/internal/delivery"
	"github.com/plantainmux/plantainmux/internal/outbound"
	"github.com/plantainmux/plantainmux/internal/placement"
	"github.com/plantainmux/plantainmux/internal/suspect"
)

const (
	readBufferBytes   = 4096
	headerContentType = "Content-Type"
)

// execute forwards the answer of an attempt to the sink. It sends the attempt first, unless that was done
// beside an earlier one.
func (r *run) execute(ctx context.Context, a *attempt) error {
	r.current = a
	r.current = a
	r.attemptEvents, r.attemptFirstAt, r.pastBeginning = 0, time.Time{}, false
	r.heldBack = false
	watch := r.newWatchdog(ctx, a)
	end := func() {
		watch.stop()
		a.end()
	}
	defer end()
	a.open()
	if a.err != nil {
		return withCause(a.ctx, a.err)
	}
	if a.streams() {
		if r.started {
			if err := checkResumes(a.answer, r.contentType); err != nil {
				return err
			}
		}
		r.events.begin(r.started)
		s := &stream{run: r, ctx: ctx, attempt: a, end: end, answer: a.answer, target: a.target, watch: watch, buffer: make([]byte, readBufferBytes)}
		s.changed.L = &s.mu
		watch.stream.Store(s)
		return withCause(a.ctx, s.forward())
	}
	return withCause(a.ctx, r.bufferAnswer(a, end))
}

// withCause replaces the connection error of an attempt that this daemon cancelled
// by the reason for the cancellation.
func withCause(ctx context.Context, err error) error {
	var broken *BrokenError
	if err == nil || !errors.As(err, &broken) {
		return err
	}
	cause := context.Cause(ctx)
	var silent *SilentError
	var slow *SlowError
	var withdrawn *WithdrawnError
	switch {
	case errors.As(cause, &withdrawn):
		return &BrokenError{Reason: Withdrawn, Err: cause}
	case errors.As(cause, &silent):
		return &BrokenError{Reason: Silent, Err: cause}
	case errors.As(cause, &slow):
		return &BrokenError{Reason: Slow, Err: cause}
	default:
		return err
	}
}

// brokenBody returns the failure of an answer that could not be read to its end.
func brokenBody(err error) error {
	var lost *outbound.PathLostError
	var withdrawn *delivery.WithdrawnError
	switch {
	case errors.As(err, &lost):
		return &BrokenError{Reason: PathLost, Err: err}
	case errors.As(err, &withdrawn):
		return &BrokenError{Reason: Undelivered, Err: err}
	default:
		return &BrokenError{Reason: Cut, Err: err}
	}
}

// brokenBuffer returns the failure of a body that could not be buffered.
func brokenBuffer(err error) error {
	var tooLarge *BodyTooLargeError
	if errors.As(err, &tooLarge) {
		return &BrokenError{Reason: Oversize, Err: err}
	}
	return brokenBody(err)
}

// brokenStream returns the failure of a stream whose events cannot be used.
func brokenStream(err error) error {
	var tooLarge *EventTooLargeError
	if errors.As(err, &tooLarge) {
		return &BrokenError{Reason: Oversize, Err: err}
	}
	return &BrokenError{Reason: Disorder, Err: err}
}

func (r *run) recordEvent(target *placement.Target, now, last time.Time) {
	gap := time.Duration(0)
	if !last.IsZero() {
		gap = now.Sub(last)
	}
	target.Meter.ObserveEvent(now, gap)
	r.current.endPrefill()
	r.attemptEvents++
	if r.attemptFirstAt.IsZero() {
		r.attemptFirstAt = now
	}
	if !r.pastBeginning && !suspect.Beginning(r.attemptFirstAt, now) {
		r.pastBeginning = true
		r.Suspects.Clear(r.subject, now)
	}
	if r.firstAt.IsZero() {
		r.firstAt = now
	}
	r.longestGap = max(r.longestGap, gap)
}

// forwardEvents forwards complete events. It calls taken after each part that is not the last one.
func (r *run) forwardEvents(answer *Answer, complete []byte, taken func()) error {
	if err := r.sendHead(answer); err != nil {
		return err
	}
	for len(complete) > maxWriteBytes {
		if err := r.sink.Events(complete[:maxWriteBytes]); err != nil {
			return &CallerGoneError{Err: err}
		}
		complete = complete[maxWriteBytes:]
		taken()
	}
	if err := r.sink.Events(complete); err != nil {
		return &CallerGoneError{Err: err}
	}
	return nil
}

// sendHead forwards the status and header of the first answer, once per request.
func (r *run) sendHead(answer *Answer) error {
	if r.started {
		return nil
	}
	r.started = true
	r.contentType = answer.Header.Get(headerContentType)
	if err := r.sink.Begin(answer.Status, answer.Header); err != nil {
		return &CallerGoneError{Err: err}
	}
	return nil
}

func (r *run) endStream(answer *Answer) error {
	if r.events.hasPartial() {
		return &BrokenError{Reason: Cut, Err: io.ErrUnexpectedEOF}
	}
	return r.sendHead(answer)
}

// bufferAnswer reads the complete body before any of it is forwarded, so that
// a broken answer can still be retried. It calls end once the body has been read.
func (r *run) bufferAnswer(a *attempt, end func()) error {
	answer := a.answer
	body, release, err := readAll(r.Held, answer.Body, r.BodyLimit)
	defer release()
	end()
	if err != nil {
		return brokenBuffer(err)
	}
	if r.started {
		return &BrokenError{Reason: ErrorStatus, Err: &StatusError{Status: answer.Status}}
	}
	if answer.Status >= http.StatusInternalServerError && r.req.Route.Repeatable() && answer.Status != http.StatusGatewayTimeout {
		r.fallback = &fallbackAnswer{status: answer.Status, header: answer.Header, body: body}
		return &BrokenError{Reason: ErrorStatus, Err: &StatusError{Status: answer.Status}}
	}
	if !r.race.finish() {
		return brokenBody(context.Cause(a.ctx))
	}
	if r.firstAt.IsZero() {
		r.firstAt = time.Now()
	}
	if err := r.sink.Complete(answer.Status, answer.Header, body); err != nil {
		return &CallerGoneError{Err: err}
	}
	return nil
}
