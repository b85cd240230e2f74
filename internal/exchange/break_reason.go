package exchange

// BreakReason says how an answer broke.
type BreakReason string

// Reasons of a break.
const (
	Cut      BreakReason = "cut"      // the connection ended
	Foreign  BreakReason = "foreign"  // it is the answer of another request
	Unsigned BreakReason = "unsigned" // a success without the endpoint's signature
	Silent   BreakReason = "silent"   // the whole group brought nothing
	Slow     BreakReason = "slow"     // the attempt took too long though another may still be in time
	Disorder BreakReason = "disorder" // events are missing or out of order
	Oversize BreakReason = "oversize" // the body is larger than the limit
	Faulty   BreakReason = "faulty"   // the endpoint answered with a failure of its own
)
