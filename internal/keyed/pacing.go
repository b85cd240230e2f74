package keyed

import "time"

// Pacing controls how often a Follower reads. Topics that rarely change are read by long
// polls, topics that change constantly at intervals.
type Pacing struct {
	Wait    time.Duration // longest wait of a long poll; 0 for no long polls
	Timeout time.Duration // of a call, in addition to Wait
	// Next returns when the topic is read next after a read that started at previous.
	Next func(previous time.Time) time.Time
}

// LongPoll returns the pacing for a topic that rarely changes.
func LongPoll(wait, timeout time.Duration) Pacing {
	return Pacing{Wait: wait, Timeout: timeout, Next: func(previous time.Time) time.Time { return previous }}
}

// Interval returns the pacing for a topic that is read at a fixed interval.
func Interval(interval, timeout time.Duration) Pacing {
	return Pacing{Timeout: timeout, Next: func(previous time.Time) time.Time { return previous.Add(interval) }}
}
