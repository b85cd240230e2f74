package service

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/plantainmux/plantainmux/internal/config"
	"github.com/plantainmux/plantainmux/internal/endpoint"
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/order"
	"github.com/plantainmux/plantainmux/internal/refusal"
	"github.com/plantainmux/plantainmux/internal/retry"
)

const (
	// keyLengthLimit bounds an idempotency key, in bytes.
	keyLengthLimit = 255
	// defaultKeyLifetime is how long keys are kept when the service declares
	// nothing.
	defaultKeyLifetime = 24 * time.Hour
	retryServiceDown   = 2 * time.Second
	retryShare         = 0.1 // of the calls
	retryBurst         = 10  // retries that may be made at once
)

// Caller calls plain services.
type Caller struct {
	service    endpoint.Service
	orders     Orders
	health     *Health
	dataCentre fleet.DataCentre
	metrics    *Metrics
	budget     *retry.Budget
	turn       atomic.Uint64
}

// NewCaller returns a caller.
func NewCaller(service endpoint.Service, orders Orders, health *Health, dataCentre fleet.DataCentre, metrics *Metrics) *Caller {
	return &Caller{service: service, orders: orders, health: health, dataCentre: dataCentre, metrics: metrics, budget: retry.NewBudget(retryShare, retryBurst)}
}

// Call runs one declared call of a team within its timeout.
func (c *Caller) Call(ctx context.Context, team fleet.TeamName, declared config.Service, call config.Call, out endpoint.ServiceCall) (endpoint.ServiceAnswer, *refusal.Refusal) {
	ctx, cancel := context.WithTimeout(ctx, call.TimeoutSeconds.Duration())
	defer cancel()
	c.metrics.calls.Inc()
	if call.Idempotent {
		return c.callIdempotent(ctx, declared, out)
	}
	return c.order(ctx, team, declared, call, out)
}

func (c *Caller) order(ctx context.Context, team fleet.TeamName, declared config.Service, call config.Call, out endpoint.ServiceCall) (endpoint.ServiceAnswer, *refusal.Refusal) {
	if out.Key == "" {
		return endpoint.ServiceAnswer{}, refusal.New(refusal.MissingKey, 0, "a call that is not idempotent needs an idempotency key")
	}
	if len(out.Key) > keyLengthLimit {
		return endpoint.ServiceAnswer{}, refusal.New(refusal.TooLarge, 0, "the idempotency key is too long")
	}
	timeout := call.TimeoutSeconds.Duration()
	result := c.orders.Run(ctx, order.Order{
		Key:            order.NewKey(team, declared.Name, out.Key),
		Addresses:      ranked(declared, c.dataCentre, c.turn.Add(1)),
		Call:           out,
		Lifetime:       keyLifetime(declared),
		Timeout:        timeout,
		DeadlineMillis: time.Now().Add(timeout).UnixMilli(),
		RefusesRepeats: call.RefusesRepeatedKeys,
	})
	return result.Answer, result.Refusal
}

func keyLifetime(declared config.Service) time.Duration {
	if lifetime := declared.KeyLifetime.Duration(); lifetime > 0 {
		return lifetime
	}
	return defaultKeyLifetime
}
