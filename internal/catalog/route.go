package catalog

import "time"

// Route assigns the requests of a host and a path prefix to services.
type Route struct {
	Name          string
	Host          string
	Prefix        string // begins and ends with a slash
	Kind          Kind
	Targets       []WeightedTarget
	Timeout       time.Duration // timeout of a request as seen by the caller
	LatencyTarget time.Duration // target latency of the first event or, without streaming, of the whole response
	GapTarget     time.Duration // target for the longest gap between two events; 0 means none
	MaxAttempts   int           // maximum number of endpoints to which one request is sent
	Priority      int           // 0 is the most urgent
	Public        bool          // requires no API key
	Resumable     bool          // an interrupted stream may be resumed at another endpoint
	// AllowedRegions are the regions in which requests may be handled; empty: all.
	AllowedRegions []string
}

// Repeatable reports whether a request that may have been executed may be sent
// again.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || r.Kind == Streaming && r.Resumable
}

// Pick selects a service by weight. random is a random number in [0, 1).
func (r *Route) Pick(random float64) string {
	total := 0.0
	for _, target := range r.Targets {
		total += target.Weight
	}
	remaining := random * total
	for _, target := range r.Targets {
		remaining -= target.Weight
		if remaining < 0 {
			return target.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}
