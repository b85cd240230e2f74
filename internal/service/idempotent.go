package service

import (
	"context"
	"net/http"
	"time"

	"github.com/plantainmux/plantainmux/internal/awake"
	"github.com/plantainmux/plantainmux/internal/config"
	"github.com/plantainmux/plantainmux/internal/endpoint"
	"github.com/plantainmux/plantainmux/internal/refusal"
	"github.com/plantainmux/plantainmux/internal/retry"
)

// maxAttempts is the maximum number of attempts of one call.
const maxAttempts = 3

// callIdempotent tries the healthy endpoints in the own data centre first, then
// those in others, within the retry budget and the deadline.
func (c *Caller) callIdempotent(ctx context.Context, deadline time.Time, declared config.Service, call endpoint.ServiceCall) (endpoint.ServiceAnswer, *refusal.Refusal) {
	c.budget.Earn()
	addresses := c.usableAddresses(declared)
	if len(addresses) == 0 {
		return endpoint.ServiceAnswer{}, refusal.New(refusal.ServiceUnavailable, retryServiceDown, "no endpoint of the service is healthy")
	}
	mayHaveRun := false
	for i, address := range addresses {
		answer, err := c.attempt(ctx, deadline, address, call, len(addresses)-i)
		last := i == len(addresses)-1
		if err == nil && (last || !overloaded(answer)) {
			return answer, nil
		}
		reason := retryReason(err)
		mayHaveRun = mayHaveRun || reason != retry.Unreachable
		if last || ctx.Err() != nil {
			break
		}
		if !c.budget.Take() {
			c.metrics.exhausted.Inc()
			break
		}
		c.metrics.retries[reason].Inc()
	}
	return endpoint.ServiceAnswer{}, exhaustedRefusal(ctx, mayHaveRun)
}

// usableAddresses returns the healthy endpoints to try, at most maxAttempts.
func (c *Caller) usableAddresses(declared config.Service) []string {
	var usable []string
	for _, address := range rankedAddresses(declared, c.dataCentre, c.roundRobin.Add(1)) {
		if c.health.Usable(address) && len(usable) < maxAttempts {
			usable = append(usable, address)
		}
	}
	return usable
}

// attempt makes one attempt. Unless it is the last one, it gets half of the
// remaining time, so that time is left for further attempts.
func (c *Caller) attempt(ctx context.Context, deadline time.Time, address string, call endpoint.ServiceCall, left int) (endpoint.ServiceAnswer, error) {
	if left > 1 {
		limited, cancel := awake.WithTimeout(ctx, time.Until(deadline)/2)
		defer cancel()
		ctx = limited
	}
	answer, err := c.service.Call(ctx, address, call)
	c.recordHealth(address, err)
	return answer, err
}

func (c *Caller) recordHealth(address string, err error) {
	switch {
	case err == nil:
		c.health.RecordSuccess(address)
	case retry.ReasonOf(err) == retry.Unreachable:
		c.health.MarkDown(address)
	default:
		c.health.RecordFailure(address)
	}
}

// overloaded reports whether the answer's status indicates a failure that another
// endpoint may not have.
func overloaded(answer endpoint.ServiceAnswer) bool {
	switch answer.Status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	default:
		return false
	}
}

func retryReason(err error) retry.Reason {
	if err == nil {
		return retry.Broken
	}
	return retry.ReasonOf(err)
}

func exhaustedRefusal(ctx context.Context, mayHaveRun bool) *refusal.Refusal {
	if !mayHaveRun {
		return refusal.New(refusal.ServiceUnavailable, retryServiceDown, "no endpoint of the service can be reached")
	}
	if ctx.Err() != nil {
		return refusal.NewUnknown(refusal.DeadlineExceeded, 0, "the service did not answer in time")
	}
	return refusal.NewUnknown(refusal.RetriesExhausted, retryServiceDown, "no endpoint of the service answered")
}
