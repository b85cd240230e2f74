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
)

const (
	watchEvery  = 60 * time.Millisecond   // between two looks at a stream's group: about one event
	stuckStream = 1500 * time.Millisecond // of one stream's own silence; callers give up after two seconds
	earlyDoubt  = 0.6                     // of a group's patience, after which its members are asked whether they live
	slowFactor  = 2                       // objectives after which an idempotent request is tried elsewhere
)

// watch ends an attempt at a target that shows signs of failure, if the request
// may go on elsewhere.
type watch struct {
	run    *run
	target *placement.Target
	cancel context.CancelCauseFunc
	mu     sync.Mutex
	timer  *time.Timer // nil: the attempt is not watched
	ended  bool
	failed map[string]bool // keys of this target and of those that failed before
	last   atomic.Int64    // Unix nanoseconds of the last event, or of the attempt's start
}

func (r *run) newWatch(target *placement.Target, cancel context.CancelCauseFunc) *watch {
	w := &watch{run: r, target: target, cancel: cancel, failed: map[string]bool{target.Key: true}}
	maps.Copy(w.failed, r.excluded)
	w.last.Store(time.Now().UnixNano())
	if !r.req.Route.Repeatable() || r.ran+1 >= r.req.Route.MaxAttempts {
		return w
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if r.req.Route.Kind == catalog.Streaming {
		w.timer = time.AfterFunc(watchEvery, w.lookAtStream)
		return w
	}
	if r.req.Route.Objective > 0 {
		after := slowFactor * r.req.Route.Objective
		w.timer = time.AfterFunc(after, func() { cancel(&SlowError{After: after}) })
	}
	return w
}

// progress notes an event.
func (w *watch) progress(now time.Time) { w.last.Store(now.UnixNano()) }

func (w *watch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	if w.timer != nil {
		w.timer.Stop()
	}
}

// lookAgain sets the next look, unless the attempt has ended meanwhile.
func (w *watch) lookAgain() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.ended {
		w.timer.Reset(watchEvery)
	}
}

// lookAtStream ends the attempt when the whole group has brought nothing for
// too long, which a lost member explains and a busy group does not, or when
// the caller would soon give up.
func (w *watch) lookAtStream() {
	now := time.Now()
	own := now.Sub(time.Unix(0, w.last.Load()))
	length, silent := w.target.Meter.Silence(now)
	if float64(length) > earlyDoubt*float64(w.target.Meter.Patience()) {
		w.run.Doubt(w.target, "", true)
	}
	switch {
	case own > w.target.Meter.Patience()/2 && w.superseded() && w.hasOther(now):
		w.cancel(&SilentError{For: own})
	case silent && own > w.target.Meter.Patience() && w.hasOther(now):
		w.cancel(&SilentError{For: length})
	case own > stuckStream && w.hasOther(now):
		w.cancel(&SlowError{After: own})
	default:
		w.lookAgain()
	}
}

// hasOther reports whether another target could take the request.
func (w *watch) hasOther(now time.Time) bool {
	targets := w.run.View().Targets(w.run.req.Service.Name, w.run.req.Model)
	other, _ := placement.Pick(targets, placement.Demand{Grouped: w.run.req.Service.Grouped(), Resumed: true, Excluded: w.failed, Now: now})
	return other != nil
}

// superseded reports whether the target is in use no more, because its group was
// granted anew.
func (w *watch) superseded() bool {
	targets := w.run.View().Targets(w.run.req.Service.Name, w.run.req.Model)
	return !slices.ContainsFunc(targets, func(t *placement.Target) bool { return t.Key == w.target.Key })
}
