package gateway

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/plantainmux/plantainmux/internal/dispatch"
	"github.com/plantainmux/plantainmux/internal/exchange"
	"github.com/plantainmux/plantainmux/internal/peer"
)

const (
	// dispatchTimeout is how long a caller may notice the loss of a dispatcher. The call takes below
	// 1 ms in a data centre.
	dispatchTimeout = 20 * time.Millisecond

	// dispatchPause is how long no dispatcher is asked after one has not answered, so that the requests
	// of its clients do not each wait for the timeout. Hubs are replaced within 0.7 s.
	dispatchPause = 500 * time.Millisecond
)

// dispatchClient asks the dispatcher of the data centre. It is safe for concurrent use.
type dispatchClient struct {
	dispatchClientDependencies
	took        *metrics.Histogram
	models      sync.Map               // true for each dispatchModel with a request that shows that dispatchers are of use
	used        atomic.Bool            // there has been a model for which dispatchers are used
	current     atomic.Pointer[string] // name of the dispatcher, empty: none
	pausedUntil atomic.Int64           // nanoseconds of the clock
}

func newDispatchClient(dependencies dispatchClientDependencies) *dispatchClient {
	c := &dispatchClient{dispatchClientDependencies: dependencies, took: dependencies.metrics.NewHistogram("plantainmux_dispatch_call_seconds")}
	c.current.Store(new(string))
	return c
}

// follow sets the name of the dispatcher.
func (c *dispatchClient) follow(name string) {
	previous := *c.current.Swap(&name)
	if previous == name {
		return
	}
	c.pausedUntil.Store(0)
	c.logger.Info("dispatcher changed", "dispatcher", name, "previous", previous)
}

// applies reports whether dispatchers are used for a request.
func (c *dispatchClient) applies(req *exchange.Request) bool {
	key := dispatchModel{service: req.Service.Name, model: req.Model}
	if _, known := c.models.Load(key); known {
		return true
	}
	if !dispatch.Applies(req.Service, req.Model, req.Route) {
		return false
	}
	c.models.Store(key, true)
	c.used.Store(true)
	return true
}

// ask asks the dispatcher which target takes a request.
func (c *dispatchClient) ask(ctx context.Context, call dispatch.Call) dispatch.Outcome {
	now := time.Now()
	outcome := dispatch.Outcome{Asked: true, By: *c.current.Load()}
	switch {
	case outcome.By == "":
		outcome.Local = dispatch.NoDispatcher
		return outcome
	case outcome.By == c.self:
		outcome.Answer = c.local(c.self, call, now)
	case c.clock().UnixNano() < c.pausedUntil.Load():
		outcome.Local = dispatch.Paused
		return outcome
	default:
		limited, cancel := context.WithTimeout(ctx, dispatchTimeout)
		defer cancel()
		err := c.call(limited, outcome.By, call, &outcome.Answer)
		c.took.UpdateDuration(now)
		if err != nil && ctx.Err() != nil {
			outcome.Local = dispatch.CallFailed // the caller is gone or its time is over, which shows nothing about the dispatcher
			return outcome
		}
		if err != nil {
			outcome.Local = c.failed(limited, outcome.By, err)
			return outcome
		}
	}
	if outcome.Answer.Declined != "" || outcome.Answer == (dispatch.Answer{}) {
		outcome.Local = dispatch.Declined(outcome.Answer.Declined)
	}
	return outcome
}

// failed returns the reason of a local choice after a call failed.
func (c *dispatchClient) failed(ctx context.Context, dispatcher string, err error) dispatch.LocalReason {
	var unreachable *peer.UnreachableError
	var unknown *peer.UnknownMethodError
	reason := dispatch.CallFailed
	switch {
	case errors.As(err, &unreachable):
		return dispatch.NoLink // known at once
	case errors.As(err, &unknown):
		reason = dispatch.OldVersion
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		reason = dispatch.TimedOut
	}
	if *c.current.Load() != dispatcher {
		return reason // another one has replaced it
	}
	c.pausedUntil.Store(c.clock().Add(dispatchPause).UnixNano())
	c.logger.Info("dispatcher not asked for a time", "dispatcher", dispatcher, "reason", reason, "pause_ms", dispatchPause.Milliseconds(), "error", err)
	return reason
}
