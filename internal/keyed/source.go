package keyed

import (
	"context"
	"time"
)

// source is a log that a read may ask.
type source struct {
	log   Log
	share float64 // of the time that a call has beside its wait
}

// readCall reads from a log, waiting up to wait for a record.
type readCall func(ctx context.Context, log Log, wait time.Duration) (Page, error)

// besideWait returns the seconds that a call has beside its wait, 0 if it has no
// deadline.
func besideWait(ctx context.Context, wait time.Duration) float64 {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return max(0, time.Until(deadline)-wait).Seconds()
}

// fitting returns the part of a wait for which time is left once another log has
// taken its share of a call in vain: a long poll that cannot end in time fails
// however sound the log is.
func fitting(ctx context.Context, wait time.Duration, beside float64) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return wait
	}
	return max(0, min(wait, time.Until(deadline)-seconds(directShare*beside)))
}

// within makes a call that may take some seconds beside its wait.
func within(ctx context.Context, beside float64, wait time.Duration, call readCall, log Log) (Page, error) {
	if beside > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, wait+seconds(beside))
		defer cancel()
	}
	return call(ctx, log, wait)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
