package exchange

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/plantainmux/plantainmux/internal/awake"
	"github.com/plantainmux/plantainmux/internal/catalog"
	"github.com/plantainmux/plantainmux/internal/hedge"
	"github.com/plantainmux/plantainmux/internal/placement"
	"github.com/plantainmux/plantainmux/internal/suspect"
)

const (
	checkInterval           = 60 * time.Millisecond   // about the interval between two events
	streamTimeout           = 1500 * time.Millisecond // silence of one stream; callers time out after 2 s
	tentativeSuspicionShare = 0.6                     // share of a group's silence timeout after which its members' health is checked
	slowLatencyTargets      = 2                       // multiple of the latency target after which an idempotent request is sent elsewhere too
)

// watchdog sends another attempt beside the main one if its target appears to have failed, and cancels
// the main one without output if the request is refused meanwhile.
type watchdog struct {
	run       *run
	ctx       context.Context // of the request
	attempt   *attempt
	slowAfter time.Duration // time without output after which the attempt is slow; 0: never
	mu        sync.Mutex
	timer     *time.Timer // nil: the attempt is not monitored
	due       time.Time   // of the next check; zero: after a time in which the process may have stood still
	settling  awake.Settling
	stopped   bool
	excluded  []string               // keys of targets that failed earlier
	sent      int                    // attempts up to this one
	ran       int                    // attempts up to this one that may have run
	resumed   bool                   // the caller has a part of an earlier attempt's answer
	blamed    map[*attempt]bool      // attempts whose targets were reported as silent
	lastEvent atomic.Int64           // time of the last event or of the attempt's start, in Unix nanoseconds
	begun     atomic.Bool            // an event has arrived
	stream    atomic.Pointer[stream] // nil: no event stream has begun
}

func (r *run) newWatchdog(ctx context.Context, a *attempt) *watchdog {
	w := &watchdog{run: r, ctx: ctx, attempt: a, sent: r.attempts, ran: r.possiblyRan + 1, resumed: r.started, blamed: map[*attempt]bool{}}
	for key := range r.excluded {
		w.excluded = append(w.excluded, key)
	}
	w.lastEvent.Store(a.sentAt.UnixNano())
	w.mu.Lock()
	defer w.mu.Unlock()
	route := r.req.Route
	switch {
	case route.Kind == catalog.Streaming:
		w.slowAfter = streamTimeout
		w.due = time.Now().Add(checkInterval)
		w.timer = time.AfterFunc(checkInterval, w.check)
	case route.Repeatable() && route.LatencyTarget > 0:
		w.slowAfter = slowLatencyTargets * route.LatencyTarget
		w.timer = time.AfterFunc(w.slowAfter, w.check)
	}
	return w
}

// recordEvent records the arrival of an event.
func (w *watchdog) recordEvent(now time.Time) {
	w.lastEvent.Store(now.UnixNano())
	w.begun.Store(true)
}

func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
}

// rearm schedules the next check unless the attempt has ended.
func (w *watchdog) rearm(interval time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped {
		w.due = time.Now().Add(interval)
		w.timer.Reset(interval)
	}
}

// settled reports whether this process has read what came while it stood still.
func (w *watchdog) settled(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.settling.Settled(w.due, now)
}

// withdrawn reports whether the request would be refused now. A trial runs on.
func (r *run) withdrawn(now time.Time) bool {
	return !r.trial.Load() && r.Suspects.Standing(r.subject, now) == suspect.Refused
}

func (w *watchdog) check() {
	now := time.Now()
	if !w.settled(now) {
		w.rearm(awake.LookInterval)
		return
	}
	newest, sent, ran := w.run.race.newest(w.attempt)
	state := w.state(newest, sent, ran, now)
	switch action := hedge.Decide(state); {
	case action == hedge.Withdraw:
		w.attempt.cancel(&WithdrawnError{})
		return
	case action.Sends():
		w.hedge(newest, action, state, now)
	}
	w.rearm(checkInterval)
}

// state returns the state of the request by its newest attempt. sent and ran are the attempts beside the
// main one.
func (w *watchdog) state(newest *attempt, sent, ran int, now time.Time) hedge.State {
	req := w.run.req
	s := hedge.State{
		Repeatable: req.Route.Repeatable(), Withdrawn: req.Route.Kind == catalog.Streaming && w.run.withdrawn(now), Begun: w.begun.Load(),
		Ran: w.ran + ran, MaxAttempts: req.Route.MaxAttempts, Sent: w.sent + sent, MaxSent: req.Route.MaxAttempts + extraSends,
		Remaining: req.Deadline.Sub(now), SlowAfter: w.slowAfter,
	}
	if stream := w.stream.Load(); stream != nil && stream.check(now) {
		w.lastEvent.Store(now.UnixNano()) // silence shows nothing about the target
		s.HeldBack = true
		return s
	}
	silentSince := time.Unix(0, w.lastEvent.Load())
	if newest.sentAt.After(silentSince) {
		silentSince = newest.sentAt
	}
	s.Silence = now.Sub(silentSince)
	if req.Route.Kind != catalog.Streaming {
		return s
	}
	meter := newest.target.Meter
	s.SilenceTimeout = meter.SilenceTimeout()
	targetSilence, silent := meter.Silence(now)
	s.TargetSilent, s.Superseded = silent, s.Silence > checkInterval && w.superseded(newest.target)
	if silent {
		s.Busy, s.BusySilent = w.busy(now)
	}
	if hedge.MayRepeat(s) && float64(targetSilence) > tentativeSuspicionShare*float64(s.SilenceTimeout) {
		w.run.ReportSuspect(newest.target, "", true)
	}
	return s
}

// superseded reports whether a target is no longer in the view because its group was granted again under
// a new epoch.
func (w *watchdog) superseded(target *placement.Target) bool {
	targets := w.run.View().Targets(w.run.req.Service.Name, w.run.req.Model)
	return !slices.ContainsFunc(targets, func(t *placement.Target) bool { return t.Key == target.Key })
}

// busy returns the number of targets that have requests in progress, and of those that are silent.
func (w *watchdog) busy(now time.Time) (busy, silent int) {
	for _, target := range w.run.View().Targets(w.run.req.Service.Name, w.run.req.Model) {
		if target.Meter.Load() == 0 {
			continue
		}
		busy++
		if silentTarget(target, now) {
			silent++
		}
	}
	return busy, silent
}

// silentTarget reports whether a target is silent, as this daemon or another one has found.
func silentTarget(target *placement.Target, now time.Time) bool {
	_, silent := target.Meter.Silence(now)
	return silent || target.Meter.Suspected(now)
}

// hedge sends another attempt beside those in progress if a target that is not silent has room and the
// retry budget allows it. The target of the newest is avoided by new requests from now on.
func (w *watchdog) hedge(newest *attempt, action hedge.Action, state hedge.State, now time.Time) {
	r, silence := w.run, state.Silence
	targets := r.View().Targets(r.req.Service.Name, r.req.Model)
	requirements := w.requirements(now)
	promising := slices.DeleteFunc(slices.Clone(targets), func(target *placement.Target) bool {
		return requirements.Excluded[target.Key] || silentTarget(target, now) || !hedge.Promising(state, action, target.Meter.EventSince(now.Add(-silence)))
	})
	if len(promising) == 0 {
		r.Metrics.hedgeDenied("no_target")
		return
	}
	if action == hedge.Silent && !w.blamed[newest] && !r.Forwards(nil) {
		w.blamed[newest] = true
		newest.target.Meter.Suspect(now, suspectPeriod)
		r.ReportSuspect(newest.target, "", false)
	}
	target, _ := placement.Pick(promising, requirements)
	if target == nil {
		r.Metrics.hedgeDenied("no_room")
		return
	}
	if !r.budget(r.req.Service.Name).Take(now, r.Daemons()) {
		r.Metrics.hedgeDenied("no_budget")
		return
	}
	if !requirements.Forwarded && !target.Limit.Take(now) {
		r.Metrics.hedgeDenied("held_back")
		return
	}
	a, from := r.race.join(w.attempt, func(from resumePoint) *attempt {
		a := r.begin(w.ctx, target, from.lastID)
		a.ahead = make(chan struct{})
		a.replaces = &SilentError{For: silence}
		if action == hedge.Slow {
			a.replaces = &SlowError{After: silence}
		}
		return a
	})
	if a == nil {
		return
	}
	r.Metrics.hedged(action)
	r.Logger.Info("attempt sent beside another", "request", r.req.ID, "route", r.req.Route.Name, "endpoint", target.ID, "beside", newest.target.ID,
		"reason", action, "silence_ms", silence.Milliseconds(), "begun", from.begun, "after", from.lastID, "left_ms", r.req.Deadline.Sub(now).Milliseconds())
	go a.readAhead(from)
}

// requirements returns those of an attempt beside the main one.
func (w *watchdog) requirements(now time.Time) placement.Requirements {
	r := w.run
	used := map[string]bool{w.attempt.target.Key: true}
	for _, key := range w.excluded {
		used[key] = true
	}
	r.race.addTargets(used)
	return placement.Requirements{
		DataCentre: r.DataCentre, Grouped: r.req.Service.Grouped(), Resumed: w.resumed || w.begun.Load(), Excluded: used,
		PromptTokens: r.req.PromptTokens, OutputTokens: r.req.OutputTokens, Priority: r.req.Priority,
		Overdue: !w.begun.Load() && r.req.overdue(now), Daemons: r.Daemons(), GossipDelay: r.GossipDelay(), Random: rand.Float64(),
		Forwarded: r.Forwards(r.req.Allowed), Allowed: r.req.Allowed, Regions: r.Regions, Now: now,
	}
}
