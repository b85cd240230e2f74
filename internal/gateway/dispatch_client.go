package gateway

import (
	"context"
	"errors"
	"slices"
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
	// dispatchRetention is how long dispatchers are used for a model after the last request that shows
	// that they are of use. It bridges the gaps between such requests of models that get few.
	dispatchRetention = 60 * time.Second
)

// dispatchClient asks the dispatcher of the data centre. It is safe for concurrent use.
type dispatchClient struct {
	dispatchClientDependencies
	took        *metrics.Histogram
	excluded    *metrics.Counter       // unknown targets excluded
	models      sync.Map               // *atomic.Int64 for each dispatchModel: nanoseconds of the clock at the last request that shows that dispatchers are of use
	usedAt      atomic.Int64           // the latest of these, or of the calls answered; 0: none yet
	current     atomic.Pointer[string] // name of the dispatcher, empty: none
	unknown     unknownTargets
	pausedUntil atomic.Int64 // nanoseconds of the clock
}

func newDispatchClient(dependencies dispatchClientDependencies) *dispatchClient {
	c := &dispatchClient{
		dispatchClientDependencies: dependencies,
		took:                       dependencies.metrics.NewHistogram("plantainmux_dispatch_call_seconds"),
		excluded:                   dependencies.metrics.NewCounter("plantainmux_dispatch_excluded_targets_total"),
	}
	c.current.Store(new(string))
	c.metrics.NewGauge("plantainmux_dispatch_models", func() float64 {
		count := 0
		c.models.Range(func(any, any) bool { count++; return true })
		return float64(count)
	})
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
	appliedAt, known := c.models.Load(key)
	if !dispatch.Applies(req.Service, req.Model, req.Route) {
		return known && c.isRecent(appliedAt.(*atomic.Int64))
	}
	now := c.noteUse()
	if !known {
		first := &atomic.Int64{}
		first.Store(now)
		if appliedAt, known = c.models.LoadOrStore(key, first); !known {
			c.logger.Info("dispatchers used for a model", "service", key.service, "model", key.model)
		}
	}
	appliedAt.(*atomic.Int64).Store(now)
	return true
}

// noteUse records that dispatchers are of use now, and returns the time in nanoseconds of the clock.
func (c *dispatchClient) noteUse() int64 {
	now := c.clock().UnixNano()
	c.usedAt.Store(now)
	return now
}

func (c *dispatchClient) isRecent(at *atomic.Int64) bool {
	return c.clock().UnixNano()-at.Load() < int64(dispatchRetention)
}

// review forgets the models for which dispatchers have not been of use for long, so that a changed
// configuration takes effect. It reports whether there has been any use lately.
func (c *dispatchClient) review() (used bool) {
	c.models.Range(func(key, appliedAt any) bool {
		if !c.isRecent(appliedAt.(*atomic.Int64)) {
			c.models.Delete(key)
			model := key.(dispatchModel)
			c.logger.Info("dispatchers no longer used for a model", "service", model.service, "model", model.model, "unused_s", dispatchRetention.Seconds())
		}
		return true
	})
	return c.isRecent(&c.usedAt)
}

// ask asks the dispatcher which target takes a request.
func (c *dispatchClient) ask(ctx context.Context, call dispatch.Call) dispatch.Outcome {
	now := time.Now()
	outcome := dispatch.Outcome{Asked: true, By: *c.current.Load()}
	model := dispatchModel{service: call.Service, model: call.Model}
	call.Excluded = slices.Concat(call.Excluded, c.unknown.keys(model, c.known, c.clock()))
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
	if outcome.Answer.Target != "" {
		c.reviewTarget(unknownTarget{model: model, key: outcome.Answer.Target}, outcome.By)
	}
	return outcome
}

// reviewTarget has the target of an answer excluded from the next calls if this daemon does not know
// it, since one request after the other would be placed locally otherwise.
func (c *dispatchClient) reviewTarget(target unknownTarget, dispatcher string) {
	if !c.known(target) && c.unknown.add(target, c.clock()) {
		c.excluded.Inc()
		c.logger.Info("unknown target of a dispatcher excluded for a time", "target", target.key, "service", target.model.service, "model", target.model.model, "dispatcher", dispatcher, "excluded_ms", unknownTargetTime.Milliseconds())
	}
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
