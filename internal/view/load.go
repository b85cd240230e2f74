package view

import "sync/atomic"

// Load counts a daemon's own requests in progress on one group. It outlives
// the views that refer to it.
type Load struct {
	inFlight atomic.Int64
}

// Begin counts one request more.
func (l *Load) Begin() { l.inFlight.Add(1) }

// End counts one request less.
func (l *Load) End() { l.inFlight.Add(-1) }

// InFlight returns the number of requests in progress.
func (l *Load) InFlight() int { return int(l.inFlight.Load()) }
