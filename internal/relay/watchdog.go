package relay

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/view"
)

const (
	watchPeriod = 200 * time.Millisecond
	// silenceComplete is how long a complete group may be silent.
	silenceComplete = 30 * time.Second
	// silenceIncomplete is how long a group that is not complete may be silent.
	silenceIncomplete = time.Second
)

// watchdog gives up an attempt whose endpoint is silent for too long.
type watchdog struct {
	attempt string
	group   fleet.FencingNumber
	views   *view.Store
	giveUp  context.CancelCauseFunc
	waiting atomic.Int64 // since when a frame is awaited, in Unix nanoseconds; 0 while none is
	timer   *time.Timer
	stopped atomic.Bool
}

func startWatchdog(attempt string, group fleet.FencingNumber, views *view.Store, giveUp context.CancelCauseFunc) *watchdog {
	w := &watchdog{attempt: attempt, group: group, views: views, giveUp: giveUp}
	// The first period begins once the field is set, since check uses it.
	w.timer = time.AfterFunc(silenceComplete, w.check)
	w.timer.Reset(watchPeriod)
	return w
}

// await notes that a frame is awaited from now on.
func (w *watchdog) await(now time.Time) { w.waiting.Store(now.UnixNano()) }

// rest notes that no frame is awaited.
func (w *watchdog) rest() { w.waiting.Store(0) }

func (w *watchdog) stop() {
	w.stopped.Store(true)
	w.timer.Stop()
}

func (w *watchdog) check() {
	now := time.Now()
	since := w.waiting.Load()
	if silence := now.Sub(time.Unix(0, since)); since != 0 && silence > w.limit(now) {
		w.giveUp(&StalledError{Attempt: w.attempt, Silence: silence})
		return
	}
	if !w.stopped.Load() {
		w.timer.Reset(watchPeriod)
	}
}

func (w *watchdog) limit(now time.Time) time.Duration {
	serving, ok := w.views.Load().Group(w.group)
	if ok && serving.Proven(now) {
		return silenceComplete
	}
	return silenceIncomplete
}
