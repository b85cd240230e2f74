package view

import (
	"sync/atomic"
	"time"

	"github.com/plantainmux/plantainmux/internal/promptcache"
)

// averageWeight is the share, in percent, of a new sample in a moving average.
const averageWeight = 10

// Load counts a daemon's own requests in progress on one group and averages
// what it observed of its pace. It outlives the views that refer to it.
type Load struct {
	inFlight   atomic.Int64
	firstToken atomic.Int64 // nanoseconds to the first token
	nextToken  atomic.Int64 // nanoseconds between two tokens
	service    atomic.Int64 // nanoseconds of a whole answer
	failed     atomic.Int64 // Unix nanoseconds of the last failed attempt

	// Prompts is what is known of the prefix cache of the group's engine.
	Prompts promptcache.Index
}

// Begin counts one request more.
func (l *Load) Begin() { l.inFlight.Add(1) }

// End counts one request less.
func (l *Load) End() { l.inFlight.Add(-1) }

// InFlight returns the number of requests in progress.
func (l *Load) InFlight() int { return int(l.inFlight.Load()) }

// SawFirstToken adds a sample of the time to the first token.
func (l *Load) SawFirstToken(d time.Duration) { average(&l.firstToken, d) }

// SawNextToken adds a sample of the mean time between two tokens of an answer.
func (l *Load) SawNextToken(d time.Duration) { average(&l.nextToken, d) }

// SawAnswer adds a sample of the time of a whole answer.
func (l *Load) SawAnswer(d time.Duration) { average(&l.service, d) }

// SawFailure notes a failed attempt.
func (l *Load) SawFailure(at time.Time) { l.failed.Store(at.UnixNano()) }

// FailedSince reports whether an attempt failed after a time.
func (l *Load) FailedSince(at time.Time) bool { return l.failed.Load() > at.UnixNano() }

// FirstToken returns the average time to the first token, or zero.
func (l *Load) FirstToken() time.Duration { return time.Duration(l.firstToken.Load()) }

// NextToken returns the average time between two tokens, or zero.
func (l *Load) NextToken() time.Duration { return time.Duration(l.nextToken.Load()) }

// Answer returns the average time of a whole answer, or zero.
func (l *Load) Answer() time.Duration { return time.Duration(l.service.Load()) }

// average moves an average towards a sample. A concurrent sample may be lost.
func average(held *atomic.Int64, sample time.Duration) {
	old := held.Load()
	if old == 0 {
		held.Store(int64(sample))
		return
	}
	held.Store(old + (int64(sample)-old)*averageWeight/100)
}
