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
	checkInterval = 200 * time.Millisecond
	// completeGroupTimeout is the maximum time between frames of a group whose
	// members are all alive.
	completeGroupTimeout = 30 * time.Second
	// incompleteGroupTimeout is the maximum time between frames of a group with a
	// missing member.
	incompleteGroupTimeout = time.Second
)

// watchdog cancels an attempt whose endpoint sends no frame within the timeout. It
// counts check intervals instead of reading the clock, so that a pause of its own
// process does not count as silence of the endpoint.
type watchdog struct {
	attempt string
	group   fleet.FencingNumber // NoGroup if another data centre runs the attempt
	views   *view.Store
	cancel  context.CancelCauseFunc
	timer   *time.Timer
	stopped atomic.Bool
	waiting atomic.Bool  // the reader is blocked on the next frame
	frames  atomic.Int64 // frames received

	checkedFrames int64         // frames at the last check; accessed only by check
	silence       time.Duration // time since the last frame; accessed only by check
}

func startWatchdog(attempt string, group fleet.FencingNumber, views *view.Store, cancel context.CancelCauseFunc) *watchdog {
	w := &watchdog{attempt: attempt, group: group, views: views, cancel: cancel}
	// The first interval starts after the assignment, since check uses the field.
	w.timer = time.AfterFunc(completeGroupTimeout, w.check)
	w.timer.Reset(checkInterval)
	return w
}

// startWaiting records that the reader waits for the next frame.
func (w *watchdog) startWaiting() { w.waiting.Store(true) }

// recordFrame records that a frame arrived and is being forwarded.
func (w *watchdog) recordFrame() {
	w.waiting.Store(false)
	w.frames.Add(1)
}

func (w *watchdog) stop() {
	w.stopped.Store(true)
	w.timer.Stop()
}

func (w *watchdog) check() {
	frames := w.frames.Load()
	if frames != w.checkedFrames || !w.waiting.Load() {
		w.silence = 0
	} else {
		w.silence += checkInterval
	}
	w.checkedFrames = frames
	if w.silence > w.timeout() {
		w.cancel(&StalledError{Attempt: w.attempt, Silence: w.silence})
		return
	}
	if !w.stopped.Load() {
		w.timer.Reset(checkInterval)
	}
}

func (w *watchdog) timeout() time.Duration {
	if w.group == fleet.NoGroup {
		return completeGroupTimeout
	}
	status, ok := w.views.Load().StatusOf(w.group)
	if !ok {
		return incompleteGroupTimeout
	}
	switch status.Condition {
	case group.Complete, group.Draining, group.MemberGoing:
		return completeGroupTimeout
	default:
		return incompleteGroupTimeout
	}
}
