package placement

import "time"

// Demand describes a request that is to be placed, and the state of the fleet in
// which it is placed.
type Demand struct {
	Zone     string // of the daemon
	Grouped  bool
	Late     bool            // its latency objective has been missed already, so that its answer has little value
	Prompt   int             // tokens
	Resumed  bool            // part of its answer has been sent to the caller
	Urgency  int             // 0 is the most urgent
	Daemons  int             // number of live daemons
	Delay    time.Duration   // with which this daemon learns of the requests of others
	Random   float64         // uniform in [0, 1)
	Excluded map[string]bool // keys of targets that failed this request
	Now      time.Time
}
