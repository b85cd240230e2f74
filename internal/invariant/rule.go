package invariant

// Rule identifies an invariant.
type Rule string

// Invariants of groups.
const (
	OnlyGranted  Rule = "only_granted"  // a VM accepts a join only for a group that the log granted it to
	JoinsRise    Rule = "joins_rise"    // a VM never accepts a join with a lower fencing number than an earlier one
	OnlyComplete Rule = "only_complete" // no group runs a request while a member is missing
	LeavingRests Rule = "leaving_rests" // a group with a leaving member starts no requests
)
