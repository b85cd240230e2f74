package accept

import (
	"errors"
	"net"
	"sync/atomic"
	"time"
)

const pause = 20 * time.Millisecond // after a failure to accept

// Listener accepts connections until it is closed. Errors of another listener do not end it: a server
// would end for good after those that net/http does not take as temporary, while its process goes on.
type Listener struct {
	net.Listener
	failed       func(err error)
	failingSince atomic.Int64 // Unix nanoseconds of the first error since a connection was accepted; 0: none
}

// Always returns a listener that calls failed for each error of another one.
func Always(listener net.Listener, failed func(err error)) *Listener {
	return &Listener{Listener: listener, failed: failed}
}

// Accept implements net.Listener. It fails with net.ErrClosed only.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err == nil {
			l.failingSince.Store(0)
		}
		if err == nil || errors.Is(err, net.ErrClosed) {
			return conn, err
		}
		l.failingSince.CompareAndSwap(0, time.Now().UnixNano())
		l.failed(err)
		time.Sleep(pause)
	}
}

// FailingFor returns for how long connections wait that could not be accepted, 0 if none do.
func (l *Listener) FailingFor(now time.Time) time.Duration {
	since := l.failingSince.Load()
	if since == 0 {
		return 0
	}
	return now.Sub(time.Unix(0, since))
}
