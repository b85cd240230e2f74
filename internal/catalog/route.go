package catalog

import "time"

// Route says where the requests of a host and a path prefix go.
type Route struct {
	Name        string
	Host        string
	Prefix      string // begins and ends with a slash
	Kind        Kind
	Targets     []Weighted
	Timeout     time.Duration // longest time that a caller is kept waiting
	Objective   time.Duration // for the first event or the whole answer
	GapLimit    time.Duration // longest pause between two events that is on time; 0: none given
	MaxAttempts int           // endpoints to which one request may be sent
	Priority    int           // 0 is the most urgent
	Public      bool          // needs no key
	Resumable   bool          // a broken stream may go on at another endpoint
}

// Repeatable reports whether a request that may have run may be sent again.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || r.Kind == Streaming && r.Resumable
}

// Pick returns the service for a random number of [0, 1), by the weights.
func (r *Route) Pick(random float64) string {
	total := 0.0
	for _, target := range r.Targets {
		total += target.Weight
	}
	left := random * total
	for _, target := range r.Targets {
		left -= target.Weight
		if left < 0 {
			return target.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}
