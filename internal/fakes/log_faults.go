package fakes

import "time"

// LogFaults are the chances, from 0 to 1, of what may happen to one call of a
// FaultyLog.
type LogFaults struct {
	Unavailable float64       // append or read fails without effect
	Limited     float64       // append is over the rate
	LoseAnswer  float64       // append takes effect, its answer is lost
	LoseRequest float64       // append takes no effect, its answer is lost too
	Repeat      float64       // append takes effect twice
	Delay       float64       // append takes effect only after MaxDelay at most; its answer is lost
	MaxDelay    time.Duration // longest delay of an append
}
