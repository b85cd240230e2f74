package forward

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/plantainmux/plantainmux/internal/locality"
)

// flight is an exchange over this daemon's own connections that has no answer yet.
type flight struct {
	endpoint  string
	allowed   *locality.Allowed // regions in which the request may be handled
	began     time.Time
	cancel    context.CancelFunc
	connected atomic.Bool
	reused    atomic.Bool
	reported  atomic.Bool // its slow connect has been reported
}

// trace returns a context that records when the exchange has a connection.
func (f *flight) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			f.reused.Store(info.Reused)
			f.connected.Store(true)
		},
	})
}
