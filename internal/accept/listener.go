package accept

import (
	"errors"
	"log/slog"
	"net"
	"time"
)

const (
	pause     = 20 * time.Millisecond // after a failure to accept
	logPeriod = 2 * time.Second       // between two lines
)

// Listener accepts connections until it is closed. Errors of another listener do not end it: a server
// would end for good after those that net/http does not take as temporary, while its process goes on.
type Listener struct {
	net.Listener
	failed func(err error)
}

// Always returns a listener that calls failed for each error of another one.
func Always(listener net.Listener, failed func(err error)) *Listener {
	return &Listener{Listener: listener, failed: failed}
}

// AlwaysLogged returns a listener that logs the errors of another one, once in logPeriod at most.
func AlwaysLogged(listener net.Listener, logger *slog.Logger) *Listener {
	var loggedAt time.Time // by Accept alone
	return Always(listener, func(err error) {
		if now := time.Now(); now.Sub(loggedAt) >= logPeriod {
			loggedAt = now
			logger.Warn("connection not accepted", "address", listener.Addr().String(), "error", err)
		}
	})
}

// Accept implements net.Listener. It fails with net.ErrClosed only.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return conn, err
		}
		l.failed(err)
		time.Sleep(pause)
	}
}
