package placement

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/locality"
)

// Requirements describes a request that is to be placed, and the state of the fleet
// in which it is placed.
type Requirements struct {
	DataCentre   string // of the daemon
	Grouped      bool
	Late         bool // its latency target has been missed already, so that its answer has little value
	Overdue      bool // its answer will miss the latency target, whichever attempt this is
	PromptTokens int
	OutputTokens int             // the caller's estimate of the answer; 0: not known
	Resumed      bool            // part of its answer has been sent to the caller
	Admitted     bool            // internal/overload has admitted it as one of the fraction that the groups take
	Priority     int             // 0 is the most urgent
	Daemons      int             // number of live daemons
	GossipDelay  time.Duration   // with which this daemon learns of the requests of others
	Random       float64         // uniform in [0, 1)
	Forwarded    bool            // another daemon sends it, and keeps to the limits that endpoints name
	Evacuated    bool            // further targets serve it, in evacuated data centres
	Excluded     map[string]bool // keys of targets that failed this request
	Now          time.Time

	Allowed *locality.Allowed // regions in which the request may be handled; nil: all
	Regions locality.Regions  // of the data centres
}
