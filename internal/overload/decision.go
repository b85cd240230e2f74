package overload

import "time"

// Decision is the result for a request, with the figures that determined it.
type Decision struct {
	Admit        bool
	Limited      bool          // the groups are offered more than they take, so that only a fraction is admitted
	Fraction     float64       // of the requests of this kind that are admitted
	RetryAfter   time.Duration // after which a refused caller comes back, if Limited
	NoRoom       bool          // that is the longest that the caller waits, and too short for what was refused before
	Load         float64       // requests in progress, as known
	Demand       float64       // requests per second; 0: not known
	Capacity     float64       // requests per second that the groups complete at the load aimed at; 0: not computed
	SlowByReport int           // groups that count as slow because their endpoints report it
}
