package reach

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// failureTTL is how long a failure counts as evidence, unless an endpoint answers: longer than two of
	// the pauses that follow the failures of an endpoint (3 s, internal/targetstats). Otherwise endpoints
	// that are tried by turns never fail together.
	failureTTL      = 6500 * time.Millisecond
	minTrialBackoff = 300 * time.Millisecond // before another request is tried directly after one that failed; it doubles with each
	maxTrialBackoff = 3 * time.Second
)

// Vouch reports whether another daemon has reached an endpoint later than a time.
type Vouch func(endpoint string, since time.Time) bool

// Tracker collects the outcomes of a daemon's exchanges with endpoints. It is safe for concurrent
// use.
type Tracker struct {
	lost  atomic.Bool // the state is not Connected
	event atomic.Bool // an event came that has not been applied to the failures yet

	mu           sync.Mutex
	failures     map[string]failure // by endpoint
	answered     bool               // an endpoint answered since the last review
	answeredAt   time.Time          // the review after the last answer; at most one interval later than the answer
	state        State
	changedAt    time.Time
	trialFrom    time.Time // no request is tried directly before
	trialBackoff time.Duration
	inTrial      bool
}

// NewTracker returns the tracker of a daemon without exchanges.
func NewTracker() *Tracker {
	return &Tracker{failures: map[string]failure{}, trialBackoff: minTrialBackoff}
}

// State returns the current state.
func (t *Tracker) State() State {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state
}

// Lost reports whether the state is other than Connected. It takes no lock because it is called for
// each exchange.
func (t *Tracker) Lost() bool { return t.lost.Load() }

// ObserveConnectFailure records that no connection was made to an endpoint since a time.
func (t *Tracker) ObserveConnectFailure(endpoint string, since time.Time) {
	t.observeFailure(endpoint, failure{at: since, connect: true})
}

// ObserveSilence records that an endpoint accepted a connection and answered nothing on it since
// a time.
func (t *Tracker) ObserveSilence(endpoint string, since time.Time) {
	t.observeFailure(endpoint, failure{at: since})
}

func (t *Tracker) observeFailure(endpoint string, f failure) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.applyEvents()
	known, ok := t.failures[endpoint]
	if ok && f.at.Sub(known.at) < failureTTL && (known.connect || !f.connect) {
		return
	}
	t.failures[endpoint] = f
}

// ObserveAnswer records that an endpoint answered. Only an answer on a new connection shows that
// new connections reach the endpoints: old ones may live on while new ones do not.
func (t *Tracker) ObserveAnswer(fresh bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.clearFailures(fresh)
}

// ObserveEvent records that a part of an answer arrived on a connection that is open already. It
// is called for each event of each stream, so it takes no lock: events are applied to the failures
// before the next failure is recorded, and at each review.
func (t *Tracker) ObserveEvent() {
	if !t.event.Load() {
		t.event.Store(true)
	}
}

// applyEvents applies the events that came since it was last called.
func (t *Tracker) applyEvents() {
	if t.event.Swap(false) {
		t.clearFailures(false)
	}
}

// clearFailures drops the failures that an answer refutes.
func (t *Tracker) clearFailures(fresh bool) {
	t.answered = true
	for endpoint, f := range t.failures {
		if fresh || !f.connect {
			delete(t.failures, endpoint)
		}
	}
}

// ReviewAnswers applies the answers that arrived until now. It is called at regular intervals; the
// interval is the precision of AnsweredSince.
func (t *Tracker) ReviewAnswers(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.applyEvents()
	if t.answered {
		t.answered, t.answeredAt = false, now
	}
}

// AnsweredSince reports whether any endpoint has answered since a time, by a new answer or an event
// of an older one. It takes answers for later than they were by up to an interval of reviews.
func (t *Tracker) AnsweredSince(since time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.applyEvents()
	return t.answered || !t.answeredAt.Before(since)
}

// Quiet reports whether there is nothing to review.
func (t *Tracker) Quiet() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.applyEvents()
	return len(t.failures) == 0 && t.state == Connected
}

// Review applies the evidence at now. known is the number of endpoints that serve requests. It
// returns the evidence, and whether the daemon counts as cut off from now on.
func (t *Tracker) Review(now time.Time, known int, vouch Vouch) (evidence Evidence, lost bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.applyEvents()
	evidence.Known = known
	for endpoint, f := range t.failures {
		if now.Sub(f.at) > failureTTL {
			delete(t.failures, endpoint)
			continue
		}
		evidence.Failing++
		if !f.connect {
			evidence.Silent++
		}
		if vouch(endpoint, f.at) {
			evidence.Vouched++
		}
	}
	if t.state != Connected || !evidence.cutOff() {
		return evidence, false
	}
	t.enter(CutOff, now)
	t.trialBackoff = minTrialBackoff
	return evidence, true
}

// ObserveProbe records that an endpoint answered a probe on a new connection.
func (t *Tracker) ObserveProbe(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.state == CutOff && !now.Before(t.trialFrom) {
		t.enter(Recovering, now)
	}
}

// BeginTrial reports whether a request may be sent directly to try the links. The caller ends the
// trial with EndTrial.
func (t *Tracker) BeginTrial() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.state != Recovering || t.inTrial {
		return false
	}
	t.inTrial = true
	return true
}

// EndTrial ends a trial. An answer ends the cut; without one the next trial waits longer. It reports
// whether the cut has ended.
func (t *Tracker) EndTrial(answered bool, now time.Time) (back bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inTrial = false
	if t.state != Recovering {
		return false
	}
	if answered {
		t.enter(Connected, now)
		clear(t.failures)
		return true
	}
	t.enter(CutOff, now)
	t.trialFrom = now.Add(t.trialBackoff)
	t.trialBackoff = min(2*t.trialBackoff, maxTrialBackoff)
	return false
}

// CancelTrial ends a trial that showed nothing, as its caller left.
func (t *Tracker) CancelTrial() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inTrial = false
}

// For returns how long the state has lasted.
func (t *Tracker) For(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Sub(t.changedAt)
}

func (t *Tracker) enter(state State, now time.Time) {
	t.state, t.changedAt = state, now
	t.lost.Store(state != Connected)
}
