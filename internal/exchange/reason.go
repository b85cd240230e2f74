package exchange

// Reason is the cause of a refusal or failure of a request.
type Reason string

// Causes of a refusal or failure.
const (
	NoTarget         Reason = "no_target"      // no endpoint serves the request
	NoCapacity       Reason = "no_room"        // all endpoints that serve the request are full
	Evacuated        Reason = "evacuated"      // all endpoints that serve the request are in evacuated data centres
	HeldBack         Reason = "held_back"      // no endpoint that serves the request wants one now
	Overloaded       Reason = "overload"       // the model's groups are offered more than they complete
	DeadlineExceeded Reason = "time_over"      // the deadline has passed
	Stopped          Reason = "stopped"        // the daemon ends before the answer
	CallerGone       Reason = "caller_gone"    // the caller closed the connection
	SlowReader       Reason = "slow_reader"    // the caller took nothing for too long
	Refused          Reason = "refused"        // the endpoints refused the request
	Broken           Reason = "broken"         // the answer is incomplete and the request cannot be retried
	NoBudget         Reason = "no_budget"      // the retry budget is used up
	CrashSuspect     Reason = "killer"         // the request crashed endpoints repeatedly
	ExceedsMemory    Reason = "exceeds_memory" // the request is larger than the memory of a group

	NoAllowedRegion Reason = "no_allowed_region" // no endpoint serves it in a region in which it may be handled
)

// Reasons lists all reasons, so that each counter is registered at start-up.
var Reasons = []Reason{NoTarget, NoCapacity, Evacuated, HeldBack, Overloaded, DeadlineExceeded, Stopped, CallerGone, SlowReader, Refused, Broken, NoBudget, CrashSuspect, ExceedsMemory, NoAllowedRegion}
