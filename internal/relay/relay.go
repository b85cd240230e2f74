// Package relay runs a request on groups until one answer is whole.
package relay

import (
	"context"
	"fmt"
	"time"

	"github.com/plantainmux/plantainmux/internal/endpoint"
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/refusal"
	"github.com/plantainmux/plantainmux/internal/request"
	"github.com/plantainmux/plantainmux/internal/retry"
	"github.com/plantainmux/plantainmux/internal/route"
	"github.com/plantainmux/plantainmux/internal/view"
)

const (
	maxAttempts  = 3
	retryNoGroup = 2 * time.Second
)

// Relay runs requests.
type Relay struct {
	views  *view.Store
	engine endpoint.Engine
	failed func(vm fleet.VMID, at time.Time)
}

// New returns a relay. failed is told of each member that broke a request.
func New(views *view.Store, engine endpoint.Engine, failed func(fleet.VMID, time.Time)) *Relay {
	return &Relay{views: views, engine: engine, failed: failed}
}

// Run runs a request and passes its answer to sink. A nil result means that
// sink received the whole answer.
func (r *Relay) Run(ctx context.Context, req *request.Request, sink Sink) *refusal.Refusal {
	excluded := map[fleet.FencingNumber]bool{}
	ran := false
	for attempt := range maxAttempts {
		serving, ok := route.Pick(r.views.Load(), req, excluded)
		if !ok {
			break
		}
		excluded[serving.Fencing] = true
		delivered, err := r.try(ctx, req, serving, attempt, sink)
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return refusal.NewUnknown(refusal.CallerGone, 0, "the caller closed its connection")
		}
		ran = ran || retry.ReasonOf(err) == retry.Broken
		if delivered > 0 {
			return refusal.NewUnknown(refusal.EndpointBroke, retryNoGroup, "the answer broke off")
		}
	}
	if ran {
		return refusal.NewUnknown(refusal.RetriesExhausted, retryNoGroup, "no attempt brought a whole answer")
	}
	return refusal.New(refusal.NoCompleteGroup, retryNoGroup, fmt.Sprintf("no complete group serves model %q", req.Model))
}

// try makes one attempt and returns how many frames reached the sink.
func (r *Relay) try(ctx context.Context, req *request.Request, serving *view.Serving, number int, sink Sink) (int, error) {
	serving.Load.Begin()
	defer serving.Load.End()
	started := time.Now()
	id := fmt.Sprintf("%s.%d", req.ID, number)
	stream, err := r.engine.Generate(ctx, serving.LeaderAddress, endpoint.GenerateRequest{
		Attempt:  id,
		Group:    serving.Fencing,
		Model:    req.Model,
		Adapter:  req.Adapter,
		Priority: req.Priority,
		Body:     req.Body,
	})
	if err != nil {
		r.noteFailure(ctx, serving, err, started)
		return 0, err
	}
	defer func() { _ = stream.Close() }()
	delivered, err := copyFrames(id, stream, sink)
	if err != nil {
		r.noteFailure(ctx, serving, err, started)
	}
	return delivered, err
}

// copyFrames passes on the frames of one attempt until its end marker.
func copyFrames(attempt string, stream endpoint.Stream, sink Sink) (int, error) {
	next := 0
	for {
		frame, err := stream.Next()
		if err != nil {
			return next, err
		}
		if frame.Attempt != attempt || frame.Index < next {
			continue
		}
		if frame.Index > next {
			return next, &GapError{Attempt: attempt, Want: next, Got: frame.Index}
		}
		if err := sink.Frame(frame); err != nil {
			return next, err
		}
		next++
		if frame.Done {
			return next, nil
		}
	}
}

func (r *Relay) noteFailure(ctx context.Context, serving *view.Serving, err error, at time.Time) {
	if ctx.Err() != nil || retry.ReasonOf(err) == retry.NotRun {
		return
	}
	r.failed(serving.Leader(), at)
}
