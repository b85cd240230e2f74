package placement

import "time"

// Situation is what a choice was made among, for the log.
type Situation struct {
	Targets   int // that serve
	Down      int // of these, passed over because they failed or are silent
	LeastLoad int // requests in progress at the least loaded that is left
	Slots     int // of that one
}

// Survey describes the targets at one moment.
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
