package placement

import "time"

// Summary summarises the targets of a placement, for the log.
type Summary struct {
	Targets   int // serving targets
	Down      int // of these, excluded because they failed, are suspected, or had a connection break
	Suspected int // of those down, targets that did not fail here but are suspected of being silent
	LeastLoad int // requests in progress at the least loaded of the others
	Slots     int // slots of that target
	Prefill   int // prompt tokens that wait for prefill at the target where the fewest do
}

// Summarize summarises the targets at now.
func Summarize(targets []*Target, now time.Time) Summary {
	summary := Summary{Targets: len(targets)}
	for _, target := range targets {
		failed := target.Meter.RecentlyInterrupted(now) || target.Meter.Down(now) || target.Meter.InBackoff(now)
		suspected := target.Meter.Suspected(now)
		if failed || suspected {
			summary.Down++
			if !failed {
				summary.Suspected++
			}
			continue
		}
		if tokens := target.Meter.PrefillTokens(); summary.Slots == 0 || tokens < summary.Prefill {
			summary.Prefill = tokens
		}
		if load := target.Meter.Load(); summary.Slots == 0 || load < summary.LeastLoad {
			summary.LeastLoad, summary.Slots = load, target.Slots
		}
	}
	return summary
}
