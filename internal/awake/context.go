package awake

import (
	"context"
	"runtime"
	"time"
)

// LookInterval is the time between two looks at a limit that has been reached.
const LookInterval = 20 * time.Millisecond

// deadlineContext is a context that ends with its cause.
type deadlineContext struct{ context.Context }

// WithDeadline returns a context that ends with context.DeadlineExceeded once a time limit has passed as for a
// Deadline, at once if the limit is over already. The contexts made from it end with context.Canceled and that cause.
// It has no deadline to tell: connections that go by one end what they wait for by the clock.
func WithDeadline(parent context.Context, at time.Time) (context.Context, context.CancelFunc) {
	inner, cancel := context.WithCancelCause(parent)
	left := time.Until(at)
	if left <= 0 {
		cancel(context.DeadlineExceeded)
		return &deadlineContext{inner}, func() {}
	}
	return watch(inner, cancel, NewDeadline(at), left, LookInterval)
}

// WithRunTime returns a context that ends with context.DeadlineExceeded once the process has run for a length of
// time. Otherwise it is as that of WithDeadline.
func WithRunTime(parent context.Context, length time.Duration) (context.Context, context.CancelFunc) {
	inner, cancel := context.WithCancelCause(parent)
	limit := NewRunTime(length, time.Now())
	return watch(inner, cancel, limit, limit.Interval(), limit.Interval())
}

// watch looks at a limit, first after a time and then in an interval, until it has passed or the context has ended.
func watch(inner context.Context, cancel context.CancelCauseFunc, l limit, first, interval time.Duration) (context.Context, context.CancelFunc) {
	var look func()
	look = func() {
		runtime.Gosched() // readers that became ready earlier have their turn first
		switch {
		case inner.Err() != nil:
		case l.Passed(time.Now()):
			cancel(context.DeadlineExceeded)
		default:
			time.AfterFunc(interval, look)
		}
	}
	timer := time.AfterFunc(first, look)
	return &deadlineContext{inner}, func() {
		timer.Stop()
		cancel(context.Canceled)
	}
}

// WithTimeout returns WithDeadline(parent, time.Now().Add(timeout)).
func WithTimeout(parent context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	return WithDeadline(parent, time.Now().Add(timeout))
}

// Deadline implements context.Context.
func (c *deadlineContext) Deadline() (time.Time, bool) { return time.Time{}, false }

// Err implements context.Context.
func (c *deadlineContext) Err() error {
	err := c.Context.Err()
	if err != nil && context.Cause(c.Context) == context.DeadlineExceeded {
		return context.DeadlineExceeded
	}
	return err
}
