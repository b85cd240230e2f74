package order

// State is what is known of an order.
type State string

// States of an order.
const (
	Claimed State = "claimed" // its claimant may be running it
	Ran     State = "ran"     // it ran
	NotRan  State = "not_ran" // its claimant proved that it did not run; the key may be claimed again
	Unclear State = "unclear" // nobody knows whether it ran
	Closed  State = "closed"  // an operator settled it as not run; the key is never run again
)

// settled reports whether the state answers a repeat.
func (s State) settled() bool {
	return s != Claimed
}
