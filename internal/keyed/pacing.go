package keyed

import "time"

// Pacing says how often a follower reads. A topic that seldom changes is read
// by long polls; one that changes all the time is read after pauses.
type Pacing struct {
	Wait    time.Duration        // longest long poll; 0: none
	Timeout time.Duration        // of a call, beside Wait
	Pause   func() time.Duration // between two reads
}

// LongPoll returns the pacing of a topic that seldom changes.
func LongPoll(wait, timeout time.Duration) Pacing {
	return Pacing{Wait: wait, Timeout: timeout, Pause: func() time.Duration { return 0 }}
}
