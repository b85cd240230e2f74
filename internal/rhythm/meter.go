package rhythm

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	usualGap    = 70 * time.Millisecond   // between two events, before any was measured
	gapWeight   = 0.1                     // of a new gap in the mean
	usualStay   = 1500 * time.Millisecond // of a request, before any was measured
	stayWeight  = 0.1                     // of a new stay in the mean
	longestPass = 250 * time.Millisecond  // of a group whose pace is not published
	passMargin  = 1.3                     // on the longest pass: members of unequal speed, and the way of the event
	waitMargin  = 40 * time.Millisecond   // the way of a request and of this daemon's turn on its processor

	usualDelay = 100 * time.Millisecond // of events at other daemons, which the margins cover
)

// Meter is the rhythm of one target. All methods are safe for concurrent use
// and take no lock.
type Meter struct {
	inFlight   atomic.Int32
	elsewhere  atomic.Int32 // in flight through other daemons, as they told last
	reading    atomic.Int64 // prompt tokens of this daemon's requests that have brought no event
	readElse   atomic.Int64 // the same of other daemons, as they told last
	busySince  atomic.Int64 // Unix nanoseconds at which the target stopped being idle
	lastEvent  atomic.Int64 // Unix nanoseconds
	heardEvent atomic.Int64 // Unix nanoseconds of the last event that another daemon told of
	gap        atomic.Uint64
	stay       atomic.Uint64
	pass       atomic.Int64 // nanoseconds
	delay      atomic.Int64 // nanoseconds by which events of other daemons are told late
	failures   atomic.Int32 // without a success since
	failedAt   atomic.Int64 // Unix nanoseconds
	brokeAt    atomic.Int64 // Unix nanoseconds at which a stream broke last
	suspectAt  atomic.Int64 // Unix nanoseconds at which a daemon held the target for silent last
	suspected  atomic.Int64 // Unix nanoseconds until which that counts
}

// NewMeter returns a meter of a target that was never used.
func NewMeter() *Meter {
	m := &Meter{}
	m.gap.Store(math.Float64bits(float64(usualGap)))
	m.stay.Store(math.Float64bits(float64(usualStay)))
	return m
}

// Begin notes that a request is sent to the target.
func (m *Meter) Begin(now time.Time) {
	if m.inFlight.Add(1) == 1 {
		m.busySince.Store(now.UnixNano())
	}
}

// End notes that the request is over.
func (m *Meter) End() { m.inFlight.Add(-1) }

// InFlight returns the requests in progress through this daemon.
func (m *Meter) InFlight() int { return int(m.inFlight.Load()) }

// Load returns the requests in progress through all daemons.
func (m *Meter) Load() int { return int(m.inFlight.Load() + m.elsewhere.Load()) }

// SetElsewhere notes the requests in progress through other daemons.
func (m *Meter) SetElsewhere(count int) { m.elsewhere.Store(int32(count)) }

// BeginReading notes that a prompt of some tokens was sent to the target.
func (m *Meter) BeginReading(tokens int) { m.reading.Add(int64(tokens)) }

// EndReading notes that such a prompt was read, or its request is over.
func (m *Meter) EndReading(tokens int) { m.reading.Add(-int64(tokens)) }

// OwnReading returns the prompt tokens that this daemon's requests wait for.
func (m *Meter) OwnReading() int { return int(m.reading.Load()) }

// Reading returns the prompt tokens that the requests of all daemons wait for.
func (m *Meter) Reading() int { return int(m.reading.Load() + m.readElse.Load()) }

// SetReadingElsewhere notes the prompt tokens that requests of other daemons wait for.
func (m *Meter) SetReadingElsewhere(tokens int) { m.readElse.Store(int64(tokens)) }

// Event notes that the target brought an event now, length after the one before
// of the same stream; 0 for the first.
func (m *Meter) Event(now time.Time, length time.Duration) {
	m.lastEvent.Store(now.UnixNano())
	if m.failures.Load() != 0 {
		m.failures.Store(0)
	}
	if length <= 0 {
		return
	}
	learn(&m.gap, gapWeight, length)
}

// Stayed notes how long a request took that was answered whole.
func (m *Meter) Stayed(length time.Duration) { learn(&m.stay, stayWeight, length) }

// Stay returns the mean time that a request takes.
func (m *Meter) Stay() time.Duration {
	return time.Duration(math.Float64frombits(m.stay.Load()))
}

// learn moves a mean towards a new value.
func learn(mean *atomic.Uint64, weight float64, value time.Duration) {
	old := math.Float64frombits(mean.Load())
	mean.Store(math.Float64bits(old + weight*(float64(value)-old)))
}

// EventElsewhere notes when the target brought an event to another daemon.
func (m *Meter) EventElsewhere(at time.Time) {
	for {
		old := m.heardEvent.Load()
		if at.UnixNano() <= old || m.heardEvent.CompareAndSwap(old, at.UnixNano()) {
			return
		}
	}
}

// EventAge returns the milliseconds since the last event, negative if there was
// none.
func (m *Meter) EventAge(now time.Time) int {
	last := m.lastEvent.Load()
	if last == 0 {
		return -1
	}
	return int(now.Sub(time.Unix(0, last)).Milliseconds())
}

// Gap returns the mean time between two events of a stream.
func (m *Meter) Gap() time.Duration {
	return time.Duration(math.Float64frombits(m.gap.Load()))
}

// SetPass notes the longest pass of the target, by its published pace.
func (m *Meter) SetPass(longest time.Duration) { m.pass.Store(int64(longest)) }

// Patience returns for how long a group may bring nothing before it is silent:
// each pass brings an event to every request that writes.
func (m *Meter) Patience() time.Duration {
	pass := time.Duration(m.pass.Load())
	if pass == 0 {
		pass = longestPass
	}
	return time.Duration(passMargin*float64(pass)) + waitMargin
}

// SetDelay notes how late events at other daemons are told of.
func (m *Meter) SetDelay(delay time.Duration) { m.delay.Store(int64(delay)) }

// untold returns for how long the target may have brought events to other daemons
// that this one has not been told of yet, beyond what the margins cover.
func (m *Meter) untold() time.Duration {
	return max(0, time.Duration(m.delay.Load())-usualDelay)
}

// keepsUp reports whether the events of this daemon's own streams are as late as
// those told of, so that they are proof enough.
func (m *Meter) keepsUp() bool {
	return time.Duration(m.heardEvent.Load()-m.lastEvent.Load()) < m.Patience()
}

// Silence returns for how long the target has brought nothing on any stream
// though requests are in progress there, and whether that is too long. A group
// that this daemon has just begun to use may be amid a pass for others, so that
// it has two.
func (m *Meter) Silence(now time.Time) (time.Duration, bool) {
	if m.inFlight.Load() == 0 {
		return 0, false
	}
	event, busy := m.newestEvent(), m.busySince.Load()
	if event >= busy {
		length := now.Sub(time.Unix(0, event))
		limit := m.Patience()
		if !m.keepsUp() {
			limit += m.untold()
		}
		return length, length > limit
	}
	length := now.Sub(time.Unix(0, busy))
	return length, length > 2*m.Patience()+m.untold()
}

// newestEvent returns the Unix nanoseconds of the last event that is known.
func (m *Meter) newestEvent() int64 { return max(m.lastEvent.Load(), m.heardEvent.Load()) }
