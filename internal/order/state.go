package order

// State is the recorded state of an order.
type State string

// States of an order.
const (
	Claimed State = "claimed" // its claimant may be running it
	Ran     State = "ran"     // it ran
	NotRan  State = "not_ran" // its claimant proved that it did not run; the key may be claimed again
	Unclear State = "unclear" // it is not known whether it ran
	Closed  State = "closed"  // an operator settled it as not run; the key is never run again
)

// settled reports whether a repeat can be answered from the state without waiting.
func (s State) settled() bool {
	return s != Claimed
}
