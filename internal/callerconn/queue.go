package callerconn

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// TakesNone reports whether connections wait that cannot be accepted, for want of descriptors for example, or that
// nobody accepts, or whether those that are accepted are closed for want of a place. It is to be called again and again.
func (l *Listener) TakesNone(now time.Time) bool {
	return l.FailingFor(now) >= failingPatience || l.neglected(now) || l.turnsAway(now)
}

// turnsAway reports whether new connections find no place, though not all have a request in progress.
func (l *Listener) turnsAway(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.unplaced.persists(now)
}

// neglected reports whether connections have waited since the last look or longer and none was accepted.
func (l *Listener) neglected(now time.Time) bool {
	waits := l.queued()
	accepted := l.accepted.Load()
	l.mu.Lock()
	if !waits || l.queuedSince.IsZero() || accepted != l.acceptedThen {
		l.queuedSince, l.acceptedThen = time.Time{}, accepted
		if waits {
			l.queuedSince = now
		}
	}
	since := l.queuedSince
	l.mu.Unlock()
	if !waits || now.Sub(since) < failingPatience {
		return false
	}
	l.report(&l.neglectedAt, "connections wait that nobody accepts", "waiting_ms", now.Sub(since).Milliseconds())
	return true
}

// queued reports whether connections wait that the listener below l has not accepted yet.
func (l *Listener) queued() bool {
	source, ok := l.Listener.Listener.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return false
	}
	waiting := false
	err = raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(fds, 0)
		waiting = err == nil && n > 0 && fds[0].Revents&unix.POLLIN != 0
	})
	return err == nil && waiting
}
