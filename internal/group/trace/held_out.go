package trace

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Contents of a held-out trace: the events of an ordinary day in one of seven
// data centres (15 failures and 92 replacements in the fleet), compressed into
// 90 minutes, with a flapping VM, a few pauses and, in every other trace, an
// unreachable fabric domain.
const (
	heldOutLength       = 90 * time.Minute
	heldOutFailures     = 2
	heldOutReplacements = 13
	heldOutPauses       = 3
	heldOutMargin       = 20 * time.Minute // without new events, at the end of a trace
)

// heldOutSeeds were fixed before any of their traces was replayed, so that they
// are independent of the results.
var heldOutSeeds = []uint64{101, 102, 103, 104}

// HeldOut returns traces that were not used to develop the planner.
func HeldOut() []Trace {
	var traces []Trace
	for i, seed := range heldOutSeeds {
		g := &generator{
			Rand:  rand.New(rand.NewPCG(seed, 0)),
			trace: newTrace(fmt.Sprintf("held out, seed %d", seed), smallDomains, 1, heldOutLength),
		}
		g.unusedVMs = g.Perm(smallDomains * domainVMs)
		g.addEvents()
		if i%2 == 1 {
			g.addDomainOutage()
		}
		traces = append(traces, g.trace)
	}
	return traces
}
