package placement

import "time"

// Situation summarises the targets of a placement, for the log.
type Situation struct {
	Targets   int // serving targets
	Down      int // of these, excluded because they failed, are suspected, or had a connection break
	LeastLoad int // requests in progress at the least loaded of the others
	Slots     int // slots of that target
}

// Survey summarises the targets at now.
func Survey(targets []*Target, now time.Time) Situation {
	situation := Situation{Targets: len(targets)}
	for _, target := range targets {
		if target.Meter.Shaken(now) || target.Meter.Down(now) || target.Meter.Avoid(now) || target.Meter.Suspected(now) {
			situation.Down++
			continue
		}
		if load := target.Meter.Load(); situation.Slots == 0 || load < situation.LeastLoad {
			situation.LeastLoad, situation.Slots = load, target.Slots
		}
	}
	return situation
}
