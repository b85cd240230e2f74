package order

// State is what is known of an order.
type State string

// States of an order.
const (
	Claimed State = "claimed" // its claimant may be running it
	Ran     State = "ran"     // it ran, and its answer is recorded
	NotRan  State = "not_ran" // it did not run; the key may be claimed again
	Unclear State = "unclear" // nobody knows whether it ran
)
