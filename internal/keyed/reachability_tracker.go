package keyed

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/plantainmux/plantainmux/internal/awake"
)

const (
	unreachableAfterRepeated = 500 * time.Millisecond // after repeated failures; longer than one refused call takes
	unreachableAfterSingle   = time.Second            // after a single failure; longer than a slow store takes to answer
	repeatedFailures         = 2                      // failed calls that count as repeated failures
	minHeard                 = 200 * time.Millisecond // for which a process that stood still must have run since a call was due, for its failure to count; longer than a round trip
)

// ReachabilityTracker wraps a Log and tracks whether this daemon can reach the store
// directly. Reads through other daemons do not count.
type ReachabilityTracker struct {
	Log
	standstills  *awake.Standstills // of this process
	failingSince atomic.Int64       // Unix nanoseconds at which the first failed call was due; 0 after an answer
	failedCalls  atomic.Int32       // failed calls since the last answer
}

// NewReachabilityTracker wraps log, which is initially considered reachable. It does not count the time in which the
// process stood still, by standstills: answers wait unread then.
func NewReachabilityTracker(log Log, standstills *awake.Standstills) *ReachabilityTracker {
	return &ReachabilityTracker{Log: log, standstills: standstills}
}

// Unreachable reports whether the store is unreachable: repeated calls have failed for
// unreachableAfterRepeated, or a single one for unreachableAfterSingle.
func (r *ReachabilityTracker) Unreachable(now time.Time) bool {
	since := r.failingSince.Load()
	if since == 0 {
		return false
	}
	failing := r.standstills.Ran(time.Unix(0, since), now)
	return failing >= unreachableAfterSingle || failing >= unreachableAfterRepeated && r.failedCalls.Load() >= repeatedFailures
}

// Newest implements Log.
func (r *ReachabilityTracker) Newest(ctx context.Context, topic, after string) (Page, error) {
	due := time.Now()
	page, err := r.Log.Newest(ctx, topic, after)
	r.recordRead(ctx, due, err)
	return page, err
}

// Read implements Log.
func (r *ReachabilityTracker) Read(ctx context.Context, topic string, from uint64, wait time.Duration) (Page, error) {
	due := time.Now().Add(wait)
	page, err := r.Log.Read(ctx, topic, from, wait)
	r.recordRead(ctx, due, err)
	return page, err
}

// Append implements Log.
func (r *ReachabilityTracker) Append(ctx context.Context, topic string, at uint64, records []Record) (Position, error) {
	due := time.Now()
	first, err := r.Log.Append(ctx, topic, at, records)
	r.recordWrite(due, err)
	return first, err
}

// Put implements Log.
func (r *ReachabilityTracker) Put(ctx context.Context, topic string, record Record) error {
	due := time.Now()
	err := r.Log.Put(ctx, topic, record)
	r.recordWrite(due, err)
	return err
}

// recordRead records the result of a read. A read that this daemon cancelled is ignored.
func (r *ReachabilityTracker) recordRead(ctx context.Context, due time.Time, err error) {
	switch {
	case answered(err):
		r.recordAnswer()
	case !errors.Is(ctx.Err(), context.Canceled):
		r.recordFailure(due)
	}
}

// recordWrite records the result of a write. A write without an answer is ignored: the
// fault may be limited to the answers to writes.
func (r *ReachabilityTracker) recordWrite(due time.Time, err error) {
	var conflict *ConflictError
	var refused *RefusedError
	switch {
	case err == nil, errors.As(err, &conflict):
		r.recordAnswer()
	case errors.As(err, &refused):
		r.recordFailure(due)
	}
}

func (r *ReachabilityTracker) recordAnswer() {
	r.failedCalls.Store(0)
	r.failingSince.Store(0)
}

// recordFailure records a call without an answer, unless the process stood still for most of the time since the call was
// due: the answer may have come.
func (r *ReachabilityTracker) recordFailure(due time.Time) {
	now := time.Now()
	if due.After(now) {
		due = now
	}
	if r.standstills.Stood(due, now) > 0 && r.standstills.Ran(due, now) < minHeard {
		return
	}
	r.failedCalls.Add(1)
	r.failingSince.CompareAndSwap(0, due.UnixNano())
}
