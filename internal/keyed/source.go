package keyed

import (
	"context"
	"time"
)

// source is a log that a read may use.
type source struct {
	log   Log
	share float64 // share of the time that a call has in addition to its wait
}

// readCall reads from a log and waits up to wait for a record.
type readCall func(ctx context.Context, log Log, wait time.Duration) (Page, error)

// timeBeyondWait returns the time in seconds that a call has in addition to its wait, 0
// if it has no deadline.
func timeBeyondWait(ctx context.Context, wait time.Duration) float64 {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return max(0, time.Until(deadline)-wait).Seconds()
}

// waitThatFits shortens wait if another log has used up its share of the call without
// success, so that directShare of callTime remains after the wait. A long poll that
// cannot end before the deadline would fail even if the log is healthy.
func waitThatFits(ctx context.Context, wait time.Duration, callTime float64) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return wait
	}
	return max(0, min(wait, time.Until(deadline)-seconds(directShare*callTime)))
}

// readWithin makes a call that may take callTime seconds in addition to its wait.
func readWithin(ctx context.Context, callTime float64, wait time.Duration, call readCall, log Log) (Page, error) {
	if callTime > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, wait+seconds(callTime))
		defer cancel()
	}
	return call(ctx, log, wait)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
