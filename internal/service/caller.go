package service

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/plantainmux/plantainmux/internal/awake"
	"github.com/plantainmux/plantainmux/internal/config"
	"github.com/plantainmux/plantainmux/internal/endpoint"
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/order"
	"github.com/plantainmux/plantainmux/internal/refusal"
	"github.com/plantainmux/plantainmux/internal/retry"
)

const (
	// keyLengthLimit is the maximum length of an idempotency key, in bytes.
	keyLengthLimit = 255
	// defaultKeyLifetime is how long keys are retained if the service declares no
	// lifetime.
	defaultKeyLifetime = 24 * time.Hour
	retryServiceDown   = 2 * time.Second
	retryShare         = 0.1 // retries per call that the budget allows
	retryBurst         = 10  // retries that the budget allows at once
)

// Caller calls plain services: idempotent calls with retries, all others as orders
// that run at most once.
type Caller struct {
	service    endpoint.Service
	orders     Orders
	health     *Health
	dataCentre fleet.DataCentre
	metrics    *Metrics
	budget     *retry.Budget
	roundRobin atomic.Uint64
}

// NewCaller returns a Caller that prefers endpoints in the given data centre.
func NewCaller(service endpoint.Service, orders Orders, health *Health, dataCentre fleet.DataCentre, metrics *Metrics) *Caller {
	return &Caller{service: service, orders: orders, health: health, dataCentre: dataCentre, metrics: metrics, budget: retry.NewBudget(retryShare, retryBurst)}
}

// Call makes a call of a team that the service declares, within the call's declared
// timeout.
func (c *Caller) Call(ctx context.Context, team fleet.TeamName, declared config.Service, call config.Call, out endpoint.ServiceCall) (endpoint.ServiceAnswer, *refusal.Refusal) {
	timeout := call.TimeoutSeconds.Duration()
	ctx, cancel := awake.WithTimeout(ctx, timeout)
	defer cancel()
	c.metrics.calls.Inc()
	if call.Idempotent {
		return c.callIdempotent(ctx, time.Now().Add(timeout), declared, out)
	}
	return c.runOrder(ctx, team, declared, call, out)
}

func (c *Caller) runOrder(ctx context.Context, team fleet.TeamName, declared config.Service, call config.Call, out endpoint.ServiceCall) (endpoint.ServiceAnswer, *refusal.Refusal) {
	if out.Key == "" {
		return endpoint.ServiceAnswer{}, refusal.New(refusal.MissingKey, 0, "a call that is not idempotent needs an idempotency key")
	}
	if len(out.Key) > keyLengthLimit {
		return endpoint.ServiceAnswer{}, refusal.New(refusal.TooLarge, 0, "the idempotency key is too long")
	}
	timeout := call.TimeoutSeconds.Duration()
	result := c.orders.Run(ctx, order.Order{
		Key:            order.NewKey(team, declared.Name, out.Key),
		Addresses:      rankedAddresses(declared, c.dataCentre, c.roundRobin.Add(1)),
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
