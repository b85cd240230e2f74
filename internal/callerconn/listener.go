package callerconn

import (
	"container/list"
	"log/slog"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/plantainmux/plantainmux/internal/accept"
	"github.com/plantainmux/plantainmux/internal/awake"
)

const (
	// firstRequestPatience is how long a new connection is kept for its first request while others
	// wait to be accepted; callers of the platform give up a request that is not read within 1 s.
	firstRequestPatience = time.Second
	// failingPatience is how long connections may wait that could not be accepted before the daemon counts
	// as taking none. Callers give up a request that is not read within 1 s.
	failingPatience  = 200 * time.Millisecond
	victimCandidates = 64 // connections looked at for one that can be closed
	// displacingLooks, awake.Step apart, is after how many a request that has been read whole has begun, also if the
	// process stands still meanwhile.
	displacingLooks = 4
	// placePatience is how long a connection beyond the limit waits for one that has a request to be read.
	placePatience = 100 * time.Millisecond
	refusalShare  = 8               // one connection beyond so many of the limit is accepted, to be refused
	logPeriod     = 2 * time.Second // between two lines of one kind
)

// Listener accepts connections up to a limit. When the limit is reached, a new one takes the place of
// one without a request in progress; when all have one, the requests on new ones are to be refused.
type Listener struct {
	*accept.Listener
	limit  int
	logger *slog.Logger

	mu           sync.Mutex
	waiting      [2]*list.List // of *tracked, by state (unused and idle), the longest waiting first
	open         int
	inProgress   int       // connections with a request in progress that is not refused
	failedAt     time.Time // as last logged
	displacedAt  time.Time // as last logged
	neglectedAt  time.Time // as last logged
	queuedSince  time.Time // since when looks find connections to accept and none accepted; zero: they do not
	acceptedThen int64     // connections accepted by queuedSince
	unplaced     unplaced
	uploads      *list.List // of *tracked whose requests have not arrived whole, the one that began first in front
	yielding     int        // connections that are to be closed since their requests did not arrive
	timeouts     Timeouts   // as last applied; zero: none yet

	writePatience time.Duration // 0: not limited
	heads         HeadLimits
	refusedHeadAt time.Time // as last logged

	displaced atomic.Int64 // closed for a new one
	refusals  atomic.Int64
	failures  atomic.Int64 // not accepted
	yielded   atomic.Int64 // requests that did not arrive whole and made room
	expired   atomic.Int64 // closed after a timeout
	aborted   atomic.Int64 // closed while a request was read that had not arrived before
	accepted  atomic.Int64
	lingering atomic.Int64 // connections that are kept until an answer has arrived

	headsTooLarge      atomic.Int64
	headsWithoutMemory atomic.Int64

	ended atomic.Bool // Accept has returned that the listener is closed
}

// Wrap returns a listener that accepts connections from another one, up to a limit.
func Wrap(listener net.Listener, limit int, logger *slog.Logger) *Listener {
	l := &Listener{limit: limit, logger: logger, waiting: [2]*list.List{unused: list.New(), idle: list.New()}, uploads: list.New()}
	l.Listener = accept.Always(listener, l.reportFailure)
	return l
}

// Register registers the metrics of the listener. labels tells it from other ones, as in `address="peers"`; empty for
// that of the callers.
func (l *Listener) Register(labels string, gauge func(name string, value func() float64)) {
	register := func(name string, value func() float64, more ...string) {
		if labels != "" {
			more = append([]string{labels}, more...)
		}
		if name = "plantainmux_caller_" + name; len(more) > 0 {
			name += "{" + strings.Join(more, ",") + "}"
		}
		gauge(name, value)
	}
	register("connections", func() float64 { return l.count(&l.open) })
	register("connections_in_progress", func() float64 { return l.count(&l.inProgress) })
	register("connections_limit", func() float64 { return float64(l.limit) })
	for name, value := range map[string]*atomic.Int64{
		"connections_displaced_total": &l.displaced, "connections_refused_total": &l.refusals, "connections_expired_total": &l.expired,
		"uploads_ended_total": &l.yielded, "connections_accepted_total": &l.accepted, "connections_aborted_total": &l.aborted, "connections_not_accepted_total": &l.failures,
	} {
		register(name, func() float64 { return float64(value.Load()) })
	}
	register("heads_refused_total", func() float64 { return float64(l.headsTooLarge.Load()) }, `reason="size"`)
	register("heads_refused_total", func() float64 { return float64(l.headsWithoutMemory.Load()) }, `reason="memory"`)
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			l.ended.Store(true) // the other errors do not get here
			return nil, err
		}
		l.accepted.Add(1)
		readUrgent(raw)
		c := &tracked{Conn: raw, listener: l, state: closed}
		if l.place(c) {
			return c, nil
		}
		l.refusals.Add(1)
		_ = raw.Close()
	}
}

// place adds a new connection, at the latest once those that have a request to be read had time to begin it. It
// returns false if there is no place.
func (l *Listener) place(c *tracked) bool {
	for end := awake.NewDeadline(time.Now().Add(placePatience)); ; time.Sleep(acceptInterval) {
		placed := l.add(c, time.Now())
		if !placed && l.readable() && !end.Passed(time.Now()) {
			continue
		}
		l.mu.Lock()
		l.unplaced.observe(placed, time.Now())
		l.mu.Unlock()
		return placed
	}
}

// Full reports whether all connections that callers may have are taken by requests in progress, none of which would
// make room.
func (l *Listener) Full() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inProgress >= l.limit && l.yieldable(time.Now()) == nil
}

// begin records that a request on a connection is in progress, which has a body to be read if uploads is set, until the
// connection is idle or closed, and returns the state of the connection: refused if the request is to be refused, as too
// many others are in progress, and closed if the connection is being closed for a new one.
func (l *Listener) begin(c *tracked, uploads bool) state {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	switch {
	case c.state == closed:
		l.aborted.Add(1)
	case c.state == busy:
	case l.inProgress >= l.limit && !l.yield(now):
		l.refusals.Add(1)
		l.set(c, refused, now)
	default:
		l.set(c, busy, now)
		if uploads {
			c.beginUpload()
		}
	}
	return c.state
}

// add adds a new connection, in the place of another one if the limit is reached. It returns false if
// there is no place.
func (l *Listener) add(c *tracked, now time.Time) bool {
	l.mu.Lock()
	var victim *tracked
	if l.open >= l.limit {
		if victim = l.displace(now); victim == nil {
			l.yield(now)
		}
	}
	accepted := l.open < l.limit || victim != nil || l.open < l.limit+l.limit/refusalShare
	if accepted {
		l.open++
		l.set(c, unused, now)
	}
	l.mu.Unlock()
	if victim != nil {
		l.displaced.Add(1)
		l.report(&l.displacedAt, "caller connections at their limit")
	}
	return accepted
}

// readable reports whether connections have no request in progress, so that one may soon be closed, or have one
// and be counted as such.
func (l *Listener) readable() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.waiting[unused].Len()+l.waiting[idle].Len() > 0
}

// displace closes a connection for a new one, and returns it, or nil if there is none that can be closed. Those
// that have not brought a request in time go first, as callers that come back use the others.
func (l *Listener) displace(now time.Time) *tracked {
	late := func(c *tracked) bool { return now.Sub(c.since) >= firstRequestPatience }
	always := func(*tracked) bool { return true }
	for _, choice := range []struct {
		from    state
		allowed func(*tracked) bool
	}{{unused, late}, {idle, always}, {unused, always}} {
		if c := l.closeLongestWaiting(choice.from, choice.allowed, now); c != nil {
			return c
		}
	}
	return nil
}

// closeLongestWaiting closes the connection of a state that has waited for longest, among those that are allowed
// and have nothing to read.
func (l *Listener) closeLongestWaiting(from state, allowed func(*tracked) bool, now time.Time) *tracked {
	e := l.waiting[from].Front()
	for range victimCandidates {
		if e == nil || !allowed(e.Value.(*tracked)) {
			return nil
		}
		c := e.Value.(*tracked)
		e = e.Next()
		if c.begun(now) && l.closeUnlessUnread(c, now) {
			return c
		}
	}
	return nil
}

func (l *Listener) move(c *tracked, to state) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.set(c, to, time.Now())
	if to == idle && c.state == idle && !l.nextHead(c) {
		l.headsWithoutMemory.Add(1)
		l.set(c, closed, time.Now())
		_ = c.Conn.Close()
	}
}

// set changes the state of a connection. The caller holds mu.
func (l *Listener) set(c *tracked, to state, now time.Time) {
	if c.state == to || c.state == closed && to != unused {
		return
	}
	if c.waiting != nil {
		l.waiting[c.state].Remove(c.waiting)
		c.waiting = nil
	}
	if c.state == busy {
		l.inProgress--
		c.endUpload()
	}
	if c.yields {
		c.yields = false
		l.yielding--
	}
	c.state, c.since, c.timeouts = to, now, l.timeouts
	c.reading.Store(0)
	c.looks = 0
	switch to {
	case unused, idle:
		c.waiting = l.waiting[to].PushBack(c)
	case busy:
		l.inProgress++
	case closed:
		l.open--
		if c.head.held > 0 {
			l.holdHead(c, 0)
		}
	case refused:
	}
}

func (l *Listener) count(value *int) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return float64(*value)
}

// reportFailure counts and logs that a connection could not be accepted.
func (l *Listener) reportFailure(err error) {
	l.failures.Add(1)
	l.report(&l.failedAt, "connection not accepted", "error", err)
}

// report logs the counts of connections, unless it did so a moment ago, at the time in last.
func (l *Listener) report(last *time.Time, message string, fields ...any) {
	now := time.Now()
	l.mu.Lock()
	due := now.Sub(*last) >= logPeriod
	if due {
		*last = now
	}
	open, inProgress, neverUsed := l.open, l.inProgress, l.waiting[unused].Len()
	l.mu.Unlock()
	if due {
		l.logger.Warn(message, append([]any{"address", l.Addr().String(), "open", open, "in_progress", inProgress, "unused", neverUsed, "limit", l.limit}, fields...)...)
	}
}
