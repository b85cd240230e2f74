package exchange

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/plantainmux/plantainmux/internal/catalog"
	"github.com/plantainmux/plantainmux/internal/placement"
)

// attempt is one exchange of a request with a target. It counts as load of the target until it ends.
type attempt struct {
	run         *run
	target      *placement.Target
	after       string // ID of the event after which the stream resumes
	ctx         context.Context
	cancel      context.CancelCauseFunc
	tokens      int
	sentAt      time.Time
	loadBefore  int           // load of the target when the attempt began
	unprefilled atomic.Int64  // prompt tokens that the target has not prefilled yet
	ahead       chan struct{} // closed once another goroutine has read the first output; nil: there is none
	replaces    error         // why the attempt in progress is cancelled if this one takes over
	answer      *Answer
	err         error // that ended the attempt before its answer
	endOnce     sync.Once
	endedAt     time.Time
}

// begin counts an attempt at a target. It ends with the context at the latest; the caller calls end.
func (r *run) begin(ctx context.Context, target *placement.Target, after string) *attempt {
	now := time.Now()
	a := &attempt{run: r, target: target, after: after, sentAt: now, loadBefore: target.Meter.Load()}
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	target.Meter.Begin(now)
	target.Meter.BeginPrefill(r.req.PromptTokens)
	a.unprefilled.Store(int64(r.req.PromptTokens))
	a.tokens = target.RequestTokens(r.req.PromptTokens, r.req.OutputTokens)
	target.Meter.BeginTokens(a.tokens)
	return a
}

// end ends the attempt at its endpoint: how long the caller takes to read the answer is no load of the
// endpoint. Further calls have no effect.
func (a *attempt) end() {
	a.endOnce.Do(func() {
		if a.answer != nil {
			_ = a.answer.Body.Close()
		}
		a.cancel(nil)
		a.endPrefill()
		a.target.Meter.EndTokens(a.tokens)
		a.target.Meter.End()
		a.endedAt = time.Now()
	})
}

// endPrefill records that the target has prefilled the prompt, or that the attempt is over.
func (a *attempt) endPrefill() {
	a.target.Meter.EndPrefill(int(a.unprefilled.Swap(0)))
}

// open waits for the answer, or for the failure of the attempt.
func (a *attempt) open() {
	if a.ahead == nil {
		a.send()
		return
	}
	<-a.ahead
}

func (a *attempt) send() {
	r := a.run
	a.answer, a.err = r.Transport.Send(a.ctx, a.target, Call{Request: r.req, Remaining: r.req.Deadline.Sub(a.sentAt), After: a.after})
	if a.err == nil && a.answer.Succeeded() && !a.answer.NamesLimit && a.target.Limit.ObserveNone(a.sentAt, time.Now()) {
		r.Logger.Info("endpoint no longer names a limit", "endpoint", a.target.ID)
	}
}

// streams reports whether the answer is a stream of events.
func (a *attempt) streams() bool {
	return a.run.req.Route.Kind == catalog.Streaming && a.answer.Succeeded()
}
