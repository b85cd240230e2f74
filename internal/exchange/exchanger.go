package exchange

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/plantainmux/plantainmux/internal/awake"
	"github.com/plantainmux/plantainmux/internal/heldbytes"
	"github.com/plantainmux/plantainmux/internal/locality"
	"github.com/plantainmux/plantainmux/internal/suspect"
)

// Exchanger forwards requests to endpoints.
type Exchanger struct {
	Dependencies
	budgets sync.Map // *Budget by service name
}

// New returns an Exchanger.
func New(dependencies Dependencies) *Exchanger {
	if dependencies.Forwards == nil {
		dependencies.Forwards = func(*locality.Allowed) bool { return false }
	}
	if dependencies.SlowReaderTimeout == 0 {
		dependencies.SlowReaderTimeout = defaultSlowReaderTimeout
	}
	if dependencies.Held == nil {
		dependencies.Held = heldbytes.NewAccount(0, metrics.NewSet())
	}
	return &Exchanger{Dependencies: dependencies}
}

// Run makes attempts until sink has received the complete answer. It returns nil
// on success.
func (x *Exchanger) Run(ctx context.Context, req *Request, sink Sink) *Failure {
	ctx, cancel := awake.WithDeadline(ctx, req.Deadline)
	defer cancel()
	x.budget(req.Service.Name).Earn(req.Arrived, x.Daemons())
	req.Late = x.FailedRequests.Contains(req.Fingerprint, req.Arrived)
	x.countDemand(req)
	r := &run{Exchanger: x, req: req, subject: suspect.Subject{Fingerprint: req.Fingerprint, Parts: req.PromptParts}, sink: sink, excluded: map[string]bool{}}
	r.events.lastID, r.race.from.lastID = req.LastEvent, req.LastEvent
	failure := r.runToCompletion(ctx)
	if failure != nil && failure.Reason != CallerGone && failure.Reason != SlowReader && failure.Reason != CrashSuspect {
		x.FailedRequests.Record(req.Fingerprint, time.Now())
	}
	x.report(r, failure)
	return failure
}

func (x *Exchanger) budget(service string) *Budget {
	if known, ok := x.budgets.Load(service); ok {
		return known.(*Budget)
	}
	made, _ := x.budgets.LoadOrStore(service, NewBudget(x.Retries.Share, x.Retries.Slack, x.Retries.Window))
	return made.(*Budget)
}

// report counts the outcome. It logs failures, late answers, requests that needed
// more than one attempt, and a sample of the rest.
func (x *Exchanger) report(r *run, failure *Failure) {
	took := time.Since(r.req.Arrived)
	x.Metrics.finished(r, failure, took)
	x.Metrics.dispatched(r.dispatch)
	late := failure == nil && r.late()
	if failure == nil && r.attempts <= 1 && !late && !x.Metrics.sampled() {
		return
	}
	outcome := "done"
	reason := Reason("")
	if failure != nil {
		outcome = "failed"
		reason = failure.Reason
		if failure.NotRun {
			outcome = "not_run"
		}
	}
	fields := []any{
		"request", r.req.ID, "route", r.req.Route.Name, "kind", r.req.Route.Kind.String(),
		"outcome", outcome, "reason", reason, "allowed_regions", r.req.Allowed.String(), "attempts", r.attempts, "took_ms", took.Milliseconds(),
		"first_ms", r.timeToFirst().Milliseconds(), "longest_gap_ms", r.longestGap.Milliseconds(), "late", late, "late_retry", r.req.Late,
		"targets", r.summary.Targets, "targets_down", r.summary.Down, "targets_suspected", r.summary.Suspected, "least_load", r.summary.LeastLoad, "load", r.load(), "slots", r.summary.Slots, "least_prefill_tokens", r.summary.Prefill,
		"left_ms", time.Until(r.req.Deadline).Milliseconds(),
	}
	fields = append(fields, r.dispatchFields()...)
	x.Logger.Info("request finished", append(fields, r.decisionFields()...)...)
}
