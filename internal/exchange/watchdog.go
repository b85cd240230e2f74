package exchange

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/plantainmux/plantainmux/internal/catalog"
	"github.com/plantainmux/plantainmux/internal/placement"
	"github.com/plantainmux/plantainmux/internal/suspect"
)

const (
	streamCheckInterval     = 60 * time.Millisecond   // about the interval between two events
	streamTimeout           = 1500 * time.Millisecond // silence of one stream; callers time out after 2 s
	tentativeSuspicionShare = 0.6                     // share of a group's silence timeout after which its members' health is checked
	slowLatencyTargets      = 2                       // multiple of the latency target after which an idempotent request is retried elsewhere
)

// watchdog cancels an attempt whose target appears to have failed, if the request can
// be retried elsewhere, and one without output whose request is refused meanwhile.
type watchdog struct {
	run       *run
	target    *placement.Target
	cancel    context.CancelCauseFunc
	mu        sync.Mutex
	timer     *time.Timer // nil: the attempt is not monitored
	stopped   bool
	failed    map[string]bool        // keys of this target and of those that failed earlier
	lastEvent atomic.Int64           // time of the last event or of the attempt's start, in Unix nanoseconds
	begun     atomic.Bool            // an event has arrived
	stream    atomic.Pointer[stream] // nil: no event stream has begun
	movable   bool                   // the request can be retried elsewhere
}

func (r *run) newWatchdog(target *placement.Target, cancel context.CancelCauseFunc) *watchdog {
	w := &watchdog{run: r, target: target, cancel: cancel, failed: map[string]bool{target.Key: true}}
	maps.Copy(w.failed, r.excluded)
	w.lastEvent.Store(time.Now().UnixNano())
	w.movable = r.req.Route.Repeatable() && r.possiblyRan+1 < r.req.Route.MaxAttempts
	w.mu.Lock()
	defer w.mu.Unlock()
	if r.req.Route.Kind == catalog.Streaming {
		w.timer = time.AfterFunc(streamCheckInterval, w.checkStream)
		return w
	}
	if w.movable && r.req.Route.LatencyTarget > 0 {
		after := slowLatencyTargets * r.req.Route.LatencyTarget
		w.timer = time.AfterFunc(after, func() { cancel(&SlowError{After: after}) })
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
func (w *watchdog) rearm() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped {
		w.timer.Reset(streamCheckInterval)
	}
}

// withdrawn reports whether the request would be refused now. A trial runs on.
func (r *run) withdrawn(now time.Time) bool {
	return !r.trial.Load() && r.Suspects.Standing(r.subject, now) == suspect.Refused
}

// checkStream cancels the attempt if no stream of the group has made progress for too
// long, which indicates a lost member rather than load, or if the caller would soon
// time out. An attempt without output whose request is refused now is cancelled as well.
func (w *watchdog) checkStream() {
	now := time.Now()
	if !w.begun.Load() && w.run.withdrawn(now) {
		w.cancel(&WithdrawnError{})
		return
	}
	if s := w.stream.Load(); s != nil && s.check(now) {
		w.lastEvent.Store(now.UnixNano()) // silence shows nothing about the target
		w.rearm()
		return
	}
	if !w.movable {
		w.rearm()
		return
	}
	streamSilence := now.Sub(time.Unix(0, w.lastEvent.Load()))
	groupSilence, silent := w.target.Meter.Silence(now)
	if float64(groupSilence) > tentativeSuspicionShare*float64(w.target.Meter.SilenceTimeout()) {
		w.run.ReportSuspect(w.target, "", true)
	}
	switch {
	case streamSilence > w.target.Meter.SilenceTimeout()/2 && w.superseded() && w.hasOther(now):
		w.cancel(&SilentError{For: streamSilence})
	case silent && streamSilence > w.target.Meter.SilenceTimeout() && w.hasOther(now):
		w.cancel(&SilentError{For: groupSilence})
	case streamSilence > streamTimeout && w.hasOther(now):
		w.cancel(&SlowError{After: streamSilence})
	default:
		w.rearm()
	}
}

// hasOther reports whether another target can accept the request.
func (w *watchdog) hasOther(now time.Time) bool {
	req := w.run.req
	targets := w.run.View().Targets(req.Service.Name, req.Model)
	other, _ := placement.Pick(targets, placement.Requirements{
		Grouped: req.Service.Grouped(), Resumed: true, Excluded: w.failed, PromptTokens: req.PromptTokens, OutputTokens: req.OutputTokens,
		Allowed: req.Allowed, Regions: w.run.Regions, Now: now,
	})
	return other != nil
}

// superseded reports whether the target is no longer in the view because its group
// was granted again under a new epoch.
func (w *watchdog) superseded() bool {
	targets := w.run.View().Targets(w.run.req.Service.Name, w.run.req.Model)
	return !slices.ContainsFunc(targets, func(t *placement.Target) bool { return t.Key == w.target.Key })
}
