package view

import (
	"sync/atomic"
	"time"

	"github.com/plantainmux/plantainmux/internal/promptcache"
)

// sampleWeightPercent is the weight of a new sample in an exponential moving
// average, in percent.
const sampleWeightPercent = 10

// Load counts a daemon's own requests in progress on one group and averages the
// latencies that it observed. It is shared by successive views.
type Load struct {
	inFlight        atomic.Int64
	firstTokenNanos atomic.Int64 // average time to first token, nanoseconds
	nextTokenNanos  atomic.Int64 // average time between tokens, nanoseconds
	answerNanos     atomic.Int64 // average duration of a complete answer, nanoseconds
	failedAtNanos   atomic.Int64 // last failed attempt, Unix nanoseconds

	// Prompts indexes the prefix cache of the group's engine.
	Prompts promptcache.Index
}

// Begin increments the number of requests in progress.
func (l *Load) Begin() { l.inFlight.Add(1) }

// End decrements the number of requests in progress.
func (l *Load) End() { l.inFlight.Add(-1) }

// InFlight returns the number of requests in progress.
func (l *Load) InFlight() int { return int(l.inFlight.Load()) }

// RecordFirstToken adds a sample of the time to the first token.
func (l *Load) RecordFirstToken(d time.Duration) { average(&l.firstTokenNanos, d) }

// RecordNextToken adds a sample of the mean time between the tokens of an answer.
func (l *Load) RecordNextToken(d time.Duration) { average(&l.nextTokenNanos, d) }

// RecordAnswer adds a sample of the duration of a complete answer.
func (l *Load) RecordAnswer(d time.Duration) { average(&l.answerNanos, d) }

// RecordFailure records a failed attempt.
func (l *Load) RecordFailure(at time.Time) { l.failedAtNanos.Store(at.UnixNano()) }

// ForgetFailure drops the last failed attempt.
func (l *Load) ForgetFailure() { l.failedAtNanos.Store(0) }

// FailedSince reports whether an attempt failed after a time.
func (l *Load) FailedSince(at time.Time) bool { return l.failedAtNanos.Load() > at.UnixNano() }

// FirstToken returns the average time to first token, or zero before the first
// sample.
func (l *Load) FirstToken() time.Duration { return time.Duration(l.firstTokenNanos.Load()) }

// NextToken returns the average time between tokens, or zero before the first
// sample.
func (l *Load) NextToken() time.Duration { return time.Duration(l.nextTokenNanos.Load()) }

// Answer returns the average duration of a complete answer, or zero before the
// first sample.
func (l *Load) Answer() time.Duration { return time.Duration(l.answerNanos.Load()) }

// average adds a sample to a moving average. Of two concurrent samples, one may be
// lost.
func average(value *atomic.Int64, sample time.Duration) {
	old := value.Load()
	if old == 0 {
		value.Store(int64(sample))
		return
	}
	value.Store(old + (int64(sample)-old)*sampleWeightPercent/100)
}
