package invariant

// Rule names an invariant.
type Rule string

// Invariants of groups.
const (
	OnlyGranted  Rule = "only_granted"  // a VM obeys only joins of a group that the log granted it to
	JoinsRise    Rule = "joins_rise"    // a VM never obeys a join older than one that it obeyed before
	OnlyComplete Rule = "only_complete" // no group runs a request with a member missing
	LeavingRests Rule = "leaving_rests" // a group with a leaving member starts no request
)
