package exchange

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/plantainmux/plantainmux/internal/catalog"
	"github.com/plantainmux/plantainmux/internal/placement"
)

const readSize = 4096 // bytes

// attempt sends the request to one target and passes its answer on.
func (r *run) attempt(ctx context.Context, target *placement.Target) error {
	r.attempts++
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	now := time.Now()
	r.sentAt, r.loadBefore = now, target.Meter.Load()
	target.Meter.Begin(now)
	defer target.Meter.End()
	target.Meter.BeginReading(r.req.Prompt)
	r.reading = r.req.Prompt
	defer func() { r.endReading(target) }()
	watch := r.newWatch(target, cancel)
	defer watch.stop()
	answer, err := r.Transport.Send(ctx, target, Call{Request: r.req, Remaining: r.req.Deadline.Sub(now), After: r.events.last})
	if err != nil {
		return withCause(ctx, err)
	}
	defer func() { _ = answer.Body.Close() }()
	if r.req.Route.Kind == catalog.Streaming && answer.Succeeded() {
		return withCause(ctx, r.stream(answer, target, watch))
	}
	return withCause(ctx, r.whole(answer))
}

// withCause names why this daemon itself ended an attempt, in place of the
// broken connection that followed.
func withCause(ctx context.Context, err error) error {
	var broken *BrokenError
	if err == nil || !errors.As(err, &broken) {
		return err
	}
	cause := context.Cause(ctx)
	var silent *SilentError
	var slow *SlowError
	switch {
	case errors.As(cause, &silent):
		return &BrokenError{Reason: Silent, Err: cause}
	case errors.As(cause, &slow):
		return &BrokenError{Reason: Slow, Err: cause}
	default:
		return err
	}
}

// stream passes events on as they come.
func (r *run) stream(answer *Answer, target *placement.Target, watch *watch) error {
	r.events.restart()
	buffer := make([]byte, readSize)
	var last time.Time
	for {
		n, err := answer.Body.Read(buffer)
		if n > 0 {
			now := time.Now()
			r.noteEvent(target, now, last)
			watch.progress(now)
			last = now
			if err := r.pass(answer, buffer[:n]); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return r.endStream(answer)
		}
		if err != nil {
			return &BrokenError{Reason: Cut, Err: err}
		}
	}
}

func (r *run) noteEvent(target *placement.Target, now, last time.Time) {
	length := time.Duration(0)
	if !last.IsZero() {
		length = now.Sub(last)
	}
	target.Meter.Event(now, length)
	r.endReading(target)
	if r.firstAt.IsZero() {
		r.firstAt = now
	}
	r.longestGap = max(r.longestGap, length)
}

// endReading notes that the target has read the prompt, or that the attempt is over.
func (r *run) endReading(target *placement.Target) {
	target.Meter.EndReading(r.reading)
	r.reading = 0
}

// pass passes the whole events on that the bytes complete.
func (r *run) pass(answer *Answer, data []byte) error {
	whole, err := r.events.add(data)
	if err != nil {
		return &BrokenError{Reason: Disorder, Err: err}
	}
	if len(whole) == 0 {
		return nil
	}
	if err := r.begin(answer); err != nil {
		return err
	}
	if err := r.sink.Events(whole); err != nil {
		return &CallerGoneError{Err: err}
	}
	return nil
}

// begin passes the head of the first answer on, once.
func (r *run) begin(answer *Answer) error {
	if r.begun {
		return nil
	}
	r.begun = true
	if err := r.sink.Begin(answer.Status, answer.Header); err != nil {
		return &CallerGoneError{Err: err}
	}
	return nil
}

func (r *run) endStream(answer *Answer) error {
	if r.events.unfinished() {
		return &BrokenError{Reason: Cut, Err: io.ErrUnexpectedEOF}
	}
	return r.begin(answer)
}

// whole reads an answer to its end before any of it is passed on, so that one
// that breaks may be repeated.
func (r *run) whole(answer *Answer) error {
	body, err := io.ReadAll(io.LimitReader(answer.Body, r.BodyLimit+1))
	if err != nil {
		return &BrokenError{Reason: Cut, Err: err}
	}
	if int64(len(body)) > r.BodyLimit {
		return &BrokenError{Reason: Oversize, Err: &OversizeError{Limit: r.BodyLimit}}
	}
	if r.begun {
		return &BrokenError{Reason: Faulty, Err: &FaultyError{Status: answer.Status}}
	}
	if answer.Status >= http.StatusInternalServerError && r.req.Route.Repeatable() && answer.Status != http.StatusGatewayTimeout {
		r.kept = &keptAnswer{status: answer.Status, header: answer.Header, body: body}
		return &BrokenError{Reason: Faulty, Err: &FaultyError{Status: answer.Status}}
	}
	if r.firstAt.IsZero() {
		r.firstAt = time.Now()
	}
	if err := r.sink.Whole(answer.Status, answer.Header, body); err != nil {
		return &CallerGoneError{Err: err}
	}
	return nil
}
