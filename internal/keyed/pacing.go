package keyed

import "time"

// Pacing controls how often a Follower reads. Topics that rarely change are read by long
// polls, topics that change constantly at intervals.
type Pacing struct {
	Wait    time.Duration        // longest wait of a long poll; 0 for no long polls
	Timeout time.Duration        // of a call, in addition to Wait
	Pause   func() time.Duration // returns the time between two reads
}

// LongPoll returns the pacing for a topic that rarely changes.
func LongPoll(wait, timeout time.Duration) Pacing {
	return Pacing{Wait: wait, Timeout: timeout, Pause: func() time.Duration { return 0 }}
}
