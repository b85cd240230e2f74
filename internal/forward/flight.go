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
	endpoint     string
	allowed      *locality.Allowed // regions in which the request may be handled
	began        time.Time
	cancel       context.CancelFunc
	connectedFor atomic.Int64 // time from began to the connection, at least 1 ns; 0: no connection yet
	reused       atomic.Bool
	reported     bool // its slow connect has been reported; guarded by the router's mutex
	awaited      bool // a review just after a standstill found its connect slow; guarded by the router's mutex
	repeatable   bool // the request may be sent again
	judged       bool // it has had no answer for silentAfter; guarded by the router's mutex
	silent       bool // nor has any endpoint sent anything since it began; guarded by the router's mutex
}

// connected reports whether the exchange has a connection.
func (f *flight) connected() bool { return f.connectedFor.Load() > 0 }

// connectedAt returns the time at which the exchange got its connection.
func (f *flight) connectedAt() time.Time {
	return f.began.Add(time.Duration(f.connectedFor.Load()))
}

// trace returns a context that records when the exchange has a connection.
func (f *flight) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			f.reused.Store(info.Reused)
			f.connectedFor.Store(max(1, int64(time.Since(f.began))))
		},
	})
}
