package relay

import (
	"context"
	"errors"
	"syscall"

	"github.com/plantainmux/plantainmux/internal/endpoint"
	"github.com/plantainmux/plantainmux/internal/outbound"
)

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
