package placement

import "time"

// Demand is what a request asks of the target that takes it.
type Demand struct {
	Zone     string // of the daemon
	Grouped  bool
	Late     bool            // its objective has passed already, so that it is worth little
	Prompt   int             // tokens
	Resumed  bool            // a part of its answer has reached the caller
	Urgency  int             // 0 is the most urgent
	Daemons  int             // live ones
	Delay    time.Duration   // by which this daemon hears of the others' requests
	Random   float64         // of [0, 1)
	Excluded map[string]bool // keys of targets that failed this request
	Now      time.Time
}
