package trace

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// What a held-out trace contains: the events that one of seven data centres
// sees on an ordinary day (15 failures and 92 replacements in the fleet), in
// an hour and a half instead of a day, with a flapping VM, a few pauses, and a
// dark fabric domain in every other trace.
const (
	heldOutLength       = 90 * time.Minute
	heldOutFailures     = 2
	heldOutReplacements = 13
	heldOutPauses       = 3
	heldOutMargin       = 20 * time.Minute // without new events, at the end
)

// heldOutSeeds were chosen before any of their traces was replayed.
var heldOutSeeds = []uint64{101, 102, 103, 104}

// HeldOut returns traces that no rule of the planner was made by.
func HeldOut() []Trace {
	var traces []Trace
	for i, seed := range heldOutSeeds {
		g := &generator{
			Rand:  rand.New(rand.NewPCG(seed, 0)),
			trace: newTrace(fmt.Sprintf("held out, seed %d", seed), smallDomains, 1, heldOutLength),
		}
		g.order = g.Perm(smallDomains * domainVMs)
		g.addDay()
		if i%2 == 1 {
			g.addDark()
		}
		traces = append(traces, g.trace)
	}
	return traces
}
