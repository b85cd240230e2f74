package fakes

import "time"

// LogFaults are the probabilities, from 0 to 1, of the faults that a FaultyLog
// injects into one call.
type LogFaults struct {
	Unavailable float64       // append or read fails without effect
	Limited     float64       // append exceeds the rate limit, without effect
	LoseAnswer  float64       // append takes effect; its answer is lost
	LoseRequest float64       // append has no effect; the outcome is reported as unknown
	Repeat      float64       // append takes effect twice
	Delay       float64       // append takes effect after a delay below MaxDelay; its answer is lost
	MaxDelay    time.Duration // longest delay of an append
}
