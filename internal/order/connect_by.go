package order

import (
	"context"
	"net/http/httptrace"
	"time"
)

// connectBy returns a context that ends at a time, by the clock, unless a call made with it has a connection by then.
func connectBy(parent context.Context, at time.Time) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	timer := time.AfterFunc(time.Until(at), func() { cancel(context.DeadlineExceeded) })
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { timer.Stop() }})
	return traced, func() {
		timer.Stop()
		cancel(context.Canceled)
	}
}
