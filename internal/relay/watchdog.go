package relay

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/group"
	"github.com/plantainmux/plantainmux/internal/view"
)

const (
	watchPeriod = 200 * time.Millisecond
	// silenceAlive is how long a group whose members all live may be silent.
	silenceAlive = 30 * time.Second
	// silenceIncomplete is how long a group with a missing member may be silent.
	silenceIncomplete = time.Second
)

// watchdog gives up an attempt whose endpoint is silent for too long. It counts
// periods rather than reads the clock, so that a pause of its own process does
// not count as silence of the endpoint.
type watchdog struct {
	attempt string
	group   fleet.FencingNumber // NoGroup when another data centre runs the attempt
	views   *view.Store
	giveUp  context.CancelCauseFunc
	timer   *time.Timer
	stopped atomic.Bool
	waiting atomic.Bool  // a frame is awaited
	frames  atomic.Int64 // frames that came

	seen  int64         // frames at the last check; of check alone
	quiet time.Duration // since the last frame; of check alone
}

func startWatchdog(attempt string, group fleet.FencingNumber, views *view.Store, giveUp context.CancelCauseFunc) *watchdog {
	w := &watchdog{attempt: attempt, group: group, views: views, giveUp: giveUp}
	// The first period begins once the field is set, since check uses it.
	w.timer = time.AfterFunc(silenceAlive, w.check)
	w.timer.Reset(watchPeriod)
	return w
}

// await notes that a frame is awaited from now on.
func (w *watchdog) await() { w.waiting.Store(true) }

// rest notes that a frame came and is being passed on.
func (w *watchdog) rest() {
	w.waiting.Store(false)
	w.frames.Add(1)
}

func (w *watchdog) stop() {
	w.stopped.Store(true)
	w.timer.Stop()
}

func (w *watchdog) check() {
	frames := w.frames.Load()
	if frames != w.seen || !w.waiting.Load() {
		w.quiet = 0
	} else {
		w.quiet += watchPeriod
	}
	w.seen = frames
	if w.quiet > w.limit() {
		w.giveUp(&StalledError{Attempt: w.attempt, Silence: w.quiet})
		return
	}
	if !w.stopped.Load() {
		w.timer.Reset(watchPeriod)
	}
}

func (w *watchdog) limit() time.Duration {
	if w.group == fleet.NoGroup {
		return silenceAlive
	}
	status, ok := w.views.Load().StatusOf(w.group)
	if !ok {
		return silenceIncomplete
	}
	switch status.Condition {
	case group.Complete, group.Draining, group.MemberGoing:
		return silenceAlive
	default:
		return silenceIncomplete
	}
}
