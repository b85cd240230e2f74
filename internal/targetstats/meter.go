package targetstats

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	initialGap       = 70 * time.Millisecond   // initial mean gap between two events of a stream
	gapWeight        = 0.1                     // weight of a new gap in the moving average
	initialLatency   = 1500 * time.Millisecond // initial mean latency of a request
	latencyWeight    = 0.1                     // weight of a new latency in the moving average
	defaultMaxPass   = 250 * time.Millisecond  // maximum pass duration of a group that publishes no performance model
	passSafetyFactor = 1.3                     // factor on the maximum pass duration: members differ in speed, and events have network latency
	transitMargin    = 40 * time.Millisecond   // network latency of a request and scheduling delay of this daemon

	toleratedDelay = 100 * time.Millisecond // gossip delay of remote events that the margins above already cover
)

// Meter tracks load, event timing and failures of one target. All methods are
// lock-free and safe for concurrent use.
type Meter struct {
	inFlight        atomic.Int32
	remoteInFlight  atomic.Int32 // requests in flight through other daemons, as last reported
	heldBack        atomic.Int32 // requests of inFlight whose answers are not read now, as their callers are slow
	localTokens     atomic.Int64 // context tokens that this daemon's requests in flight fill in the end, as estimated
	localPrefill    atomic.Int64 // prompt tokens of this daemon's requests that have had no event yet
	remotePrefill   atomic.Int64 // the same for other daemons, as last reported
	busySince       atomic.Int64 // Unix nanoseconds at which the target stopped being idle
	lastEvent       atomic.Int64 // Unix nanoseconds
	lastRemoteEvent atomic.Int64 // Unix nanoseconds of the last event that another daemon reported
	meanGap         atomic.Uint64
	recentGap       recentGap
	meanLatency     atomic.Uint64
	maxPass         atomic.Int64 // nanoseconds
	gossipDelay     atomic.Int64 // nanoseconds from an event at another daemon to its report here
	failures        atomic.Int32 // consecutive
	failedAt        atomic.Int64 // Unix nanoseconds
	streamBrokeAt   atomic.Int64 // Unix nanoseconds of the last broken stream
	suspectedAt     atomic.Int64 // Unix nanoseconds at which a daemon last reported the target as silent
	suspectedUntil  atomic.Int64 // Unix nanoseconds at which that report expires
}

// NewMeter returns the meter of an unused target.
func NewMeter() *Meter {
	m := &Meter{}
	m.meanGap.Store(math.Float64bits(float64(initialGap)))
	m.meanLatency.Store(math.Float64bits(float64(initialLatency)))
	return m
}

// Begin records that a request is sent to the target. The caller calls End once.
func (m *Meter) Begin(now time.Time) {
	if m.inFlight.Add(1)-m.heldBack.Load() == 1 {
		m.busySince.Store(now.UnixNano())
	}
}

// End records that the request is over.
func (m *Meter) End() { m.inFlight.Add(-1) }

// HoldBack records that an answer is not read until ReadOn is called, so that silence of the target
// cannot be seen by it. The others are judged anew, as they may have had no event yet.
func (m *Meter) HoldBack(now time.Time) {
	m.heldBack.Add(1)
	m.busySince.Store(now.UnixNano())
}

// ReadOn records that the answer is read again, or that its request is over.
func (m *Meter) ReadOn(now time.Time) {
	m.busySince.Store(now.UnixNano())
	m.heldBack.Add(-1)
}

// InFlight returns the number of requests in progress through this daemon.
func (m *Meter) InFlight() int { return int(m.inFlight.Load()) }

// Load returns the number of requests in progress through all daemons.
func (m *Meter) Load() int { return int(m.inFlight.Load() + m.remoteInFlight.Load()) }

// RemoteInFlight returns the number of requests in progress through other daemons.
func (m *Meter) RemoteInFlight() int { return int(m.remoteInFlight.Load()) }

// BeginTokens records that a request is sent that fills this many context tokens in the end.
func (m *Meter) BeginTokens(tokens int) { m.localTokens.Add(int64(tokens)) }

// EndTokens records that such a request is over.
func (m *Meter) EndTokens(tokens int) { m.localTokens.Add(-int64(tokens)) }

// LocalTokens returns the context tokens of this daemon's requests in progress.
func (m *Meter) LocalTokens() int { return int(m.localTokens.Load()) }

// SetRemoteInFlight sets the number of requests in progress through other daemons.
func (m *Meter) SetRemoteInFlight(count int) { m.remoteInFlight.Store(int32(count)) }

// BeginPrefill records that a prompt of the given number of tokens was sent to the
// target and waits for prefill.
func (m *Meter) BeginPrefill(tokens int) { m.localPrefill.Add(int64(tokens)) }

// EndPrefill records that such a prompt was prefilled, or that its request is over.
func (m *Meter) EndPrefill(tokens int) { m.localPrefill.Add(-int64(tokens)) }

// LocalPrefillTokens returns the number of prompt tokens of this daemon's requests
// that wait for prefill.
func (m *Meter) LocalPrefillTokens() int { return int(m.localPrefill.Load()) }

// PrefillTokens returns the number of prompt tokens of all daemons' requests that wait
// for prefill.
func (m *Meter) PrefillTokens() int { return int(m.localPrefill.Load() + m.remotePrefill.Load()) }

// SetRemotePrefillTokens sets the number of prompt tokens of other daemons' requests
// that wait for prefill.
func (m *Meter) SetRemotePrefillTokens(tokens int) { m.remotePrefill.Store(int64(tokens)) }

// ObserveEvent records that the target sent an event at now, sincePrevious after the
// last one of the same stream; sincePrevious is 0 for the first.
func (m *Meter) ObserveEvent(now time.Time, sincePrevious time.Duration) {
	m.lastEvent.Store(now.UnixNano())
	if m.failures.Load() != 0 {
		m.failures.Store(0)
	}
	if sincePrevious <= 0 {
		return
	}
	updateMean(&m.meanGap, gapWeight, sincePrevious)
	m.recentGap.observe(now, sincePrevious)
}

// ObserveLatency records the latency of a request that was answered completely.
func (m *Meter) ObserveLatency(latency time.Duration) {
	updateMean(&m.meanLatency, latencyWeight, latency)
}

// MeanLatency returns the mean latency of a request.
func (m *Meter) MeanLatency() time.Duration {
	return time.Duration(math.Float64frombits(m.meanLatency.Load()))
}

// updateMean adds a value to an exponentially weighted moving average.
func updateMean(mean *atomic.Uint64, weight float64, value time.Duration) {
	old := math.Float64frombits(mean.Load())
	mean.Store(math.Float64bits(old + weight*(float64(value)-old)))
}

// ObserveRemoteEvent records the time of an event that the target sent to another daemon.
func (m *Meter) ObserveRemoteEvent(at time.Time) {
	for {
		old := m.lastRemoteEvent.Load()
		if at.UnixNano() <= old || m.lastRemoteEvent.CompareAndSwap(old, at.UnixNano()) {
			return
		}
	}
}

// EventAge returns the milliseconds since the last event at this daemon, or -1 if
// there was none.
func (m *Meter) EventAge(now time.Time) int {
	last := m.lastEvent.Load()
	if last == 0 {
		return -1
	}
	return int(now.Sub(time.Unix(0, last)).Milliseconds())
}

// MeanGap returns the mean time between two events of a stream.
func (m *Meter) MeanGap() time.Duration {
	return time.Duration(math.Float64frombits(m.meanGap.Load()))
}

// SetMaxPass sets the maximum duration of one pass of the target, computed from its
// published performance model.
func (m *Meter) SetMaxPass(duration time.Duration) { m.maxPass.Store(int64(duration)) }

// SilenceTimeout returns how long a group may send no event before it counts as silent.
// Each pass yields an event for every request that is generating tokens.
func (m *Meter) SilenceTimeout() time.Duration {
	maxPass := time.Duration(m.maxPass.Load())
	if maxPass == 0 {
		maxPass = defaultMaxPass
	}
	return time.Duration(passSafetyFactor*float64(maxPass)) + transitMargin
}

// SetGossipDelay sets the delay with which other daemons' events are reported here.
func (m *Meter) SetGossipDelay(delay time.Duration) { m.gossipDelay.Store(int64(delay)) }

// unreportedWindow returns how long the target may have sent events to other daemons
// without a report here, beyond what the margins cover.
func (m *Meter) unreportedWindow() time.Duration {
	return max(0, time.Duration(m.gossipDelay.Load())-toleratedDelay)
}

// localEventsCurrent reports whether this daemon's own streams have had events as
// recently as the reported ones, so that silence can be judged by them alone.
func (m *Meter) localEventsCurrent() bool {
	return time.Duration(m.lastRemoteEvent.Load()-m.lastEvent.Load()) < m.SilenceTimeout()
}

// Silence returns how long the target has sent no event on any stream although
// requests are in progress there, and whether that exceeds the limit. A group that
// this daemon has just begun to use may be in the middle of a pass for other
// requests, so its limit is two passes.
func (m *Meter) Silence(now time.Time) (time.Duration, bool) {
	if m.inFlight.Load() <= m.heldBack.Load() {
		return 0, false
	}
	event, busy := m.newestEvent(), m.busySince.Load()
	if event >= busy {
		elapsed := now.Sub(time.Unix(0, event))
		limit := m.SilenceTimeout()
		if !m.localEventsCurrent() {
			limit += m.unreportedWindow()
		}
		return elapsed, elapsed > limit
	}
	elapsed := now.Sub(time.Unix(0, busy))
	return elapsed, elapsed > 2*m.SilenceTimeout()+m.unreportedWindow()
}

// newestEvent returns the Unix nanoseconds of the last event at any daemon.
func (m *Meter) newestEvent() int64 { return max(m.lastEvent.Load(), m.lastRemoteEvent.Load()) }

// EventSince reports whether any daemon has had an event of the target later than a time.
func (m *Meter) EventSince(at time.Time) bool { return m.newestEvent() > at.UnixNano() }

// RemoteEventSince reports whether another daemon has had an event of the target later than a time.
func (m *Meter) RemoteEventSince(at time.Time) bool { return m.lastRemoteEvent.Load() > at.UnixNano() }
