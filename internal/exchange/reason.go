package exchange

// Reason says why a request was refused or failed.
type Reason string

// Reasons of a refusal or failure.
const (
	NoTarget   Reason = "no_target"   // nothing serves it
	NoRoom     Reason = "no_room"     // all that serve it are full
	TimeOver   Reason = "time_over"   // its time is over
	CallerGone Reason = "caller_gone" // its caller left
	Refused    Reason = "refused"     // endpoints refused it
	Broken     Reason = "broken"      // its answer broke and may not be repeated
	NoBudget   Reason = "no_budget"   // retries are used up
	Killer     Reason = "killer"      // it crashed what ran it
)

// Reasons lists all, so that each has a counter from the start.
var Reasons = []Reason{NoTarget, NoRoom, TimeOver, CallerGone, Refused, Broken, NoBudget, Killer}
