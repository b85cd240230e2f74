package overload

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/catalog"
)

// Input is what a decision depends on.
type Input struct {
	Performance *catalog.PerformanceModel // published by the service
	Model       *catalog.Model
	Targets     []Target // groups of the model that take requests
	Demand      Demand
	Priority    int           // of the request; 0 is the most urgent
	Team        string        // of the request; empty: none, which counts as a team
	Teams       []TeamDemand  // of the priority of the request; empty: not known, so that all teams are alike
	Late        bool          // the request has missed its latency target already
	Daemons     int           // number of live daemons
	Delay       time.Duration // with which this daemon learns of the requests of others
	Remaining   time.Duration // until the deadline of the request; 0: not known
	Jitter      float64       // uniform in [0, 1), for the time after which a refused caller comes back
	Random      float64       // uniform in [0, 1)
	LoadShare   float64       // share of the slots in use that is aimed at; 0: the one for daemons that decide by themselves
}
