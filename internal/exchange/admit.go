package exchange

import (
	"math/rand/v2"
	"time"

	"github.com/plantainmux/plantainmux/internal/overload"
	"github.com/plantainmux/plantainmux/internal/placement"
)

// admit reports whether a request may run under the load of its model. It decides once, before
// the first attempt: a request that was sent, or of which the caller has a part, is kept.
func (r *run) admit(targets []*placement.Target, now time.Time) bool {
	service := r.req.Service
	if r.attempts > 0 || r.req.LastEvent != "" || r.Demand == nil || !service.RanksRoutes || service.Performance == nil {
		return true
	}
	r.decision = overload.Decide(overload.Input{
		Performance: service.Performance,
		Model:       service.Model(r.req.Model),
		Targets:     OverloadTargets(targets, service.ColdPerS, meterLoad, now),
		Demand:      r.Demand(service.Name, r.req.Model),
		Priority:    r.req.Priority,
		Team:        r.req.Team,
		Teams:       CountTeams(r.Counter, r.teamClass(), now),
		Late:        r.req.Late,
		Daemons:     r.Daemons(),
		Delay:       r.GossipDelay(),
		Remaining:   r.req.Deadline.Sub(now),
		Jitter:      rand.Float64(),
		Random:      rand.Float64(),
	})
	r.Metrics.decided(modelKey{service.Name, r.req.Model}, r.decision)
	return r.decision.Admit
}

// refusedUnderOverload returns the failure of a request that is not admitted.
func (r *run) refusedUnderOverload() *Failure {
	failure := r.fail(Overloaded, nil)
	if after := r.decision.RetryAfter; after > 0 {
		failure.RetryAfter = after
	}
	return failure
}

func (r *run) teamClass() TeamClass {
	return TeamClass{Service: r.req.Service.Name, Model: r.req.Model, Priority: r.req.Priority, Team: r.req.Team, Late: r.req.Late}
}

// OverloadTargets returns the targets that take requests, with the requests in progress by load.
// Those that failed or hold back have no capacity, and what is in progress there is not in progress
// at the others. Cold ones take coldPerS requests per second, if that is above 0.
func OverloadTargets(targets []*placement.Target, coldPerS float64, load func(target *placement.Target) int, now time.Time) []overload.Target {
	usable := make([]overload.Target, 0, len(targets))
	for _, target := range targets {
		meter := target.Meter
		if meter.Down(now) || meter.InBackoff(now) || meter.Suspected(now) || target.Hold.Remaining(now) > 0 {
			continue
		}
		limit, named := namedLimit(target)
		if named && limit <= 0 {
			continue
		}
		if coldPerS > 0 && target.Limit.Cold(now) && (limit == 0 || coldPerS < limit) {
			limit = coldPerS
		}
		usable = append(usable, overload.Target{Load: load(target), MeanGap: meter.RecentGap(now), Slowdown: target.Slowdown, MaxRate: limit})
	}
	return usable
}

func meterLoad(target *placement.Target) int { return target.Meter.Load() }

// namedLimit returns the requests per second that a target takes, and whether it names any limit.
func namedLimit(target *placement.Target) (float64, bool) {
	if target.Limit == nil {
		return 0, false
	}
	limit, named := target.Limit.Named()
	if !named {
		return 0, false
	}
	return limit, true
}

// decisionFields returns the log fields of a decision that was computed.
func (r *run) decisionFields() []any {
	d := r.decision
	if d.Capacity == 0 {
		return nil
	}
	fields := []any{"overload_limited", d.Limited, "overload_fraction", d.Fraction, "overload_load", d.Load, "overload_demand", d.Demand, "overload_capacity", d.Capacity}
	if d.SlowByReport > 0 {
		fields = append(fields, "overload_slow_by_report", d.SlowByReport)
	}
	return fields
}
