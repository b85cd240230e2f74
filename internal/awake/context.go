package awake

import (
	"context"
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
	ctx := &deadlineContext{inner}
	left := time.Until(at)
	if left <= 0 {
		cancel(context.DeadlineExceeded)
		return ctx, func() {}
	}
	limit := NewDeadline(at)
	var look func()
	look = func() {
		switch {
		case inner.Err() != nil:
		case limit.Passed(time.Now()):
			cancel(context.DeadlineExceeded)
		default:
			time.AfterFunc(LookInterval, look)
		}
	}
	timer := time.AfterFunc(left, look)
	return ctx, func() {
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
