package exchange

// BreakReason is the way in which an answer failed after the request was sent.
type BreakReason string

// Break reasons.
const (
	Cut         BreakReason = "cut"         // the connection was closed before the end of the answer
	PathLost    BreakReason = "path_lost"   // the daemon through which it was sent, or the links of this one, were lost
	Foreign     BreakReason = "foreign"     // the answer belongs to another request
	Unsigned    BreakReason = "unsigned"    // a 2xx answer without the endpoint's signature
	Silent      BreakReason = "silent"      // no stream of the group made progress
	Slow        BreakReason = "slow"        // the attempt took too long while another one may still answer in time
	Disorder    BreakReason = "disorder"    // events are missing or out of order
	Oversize    BreakReason = "oversize"    // the body exceeds the size limit
	Withdrawn   BreakReason = "withdrawn"   // the request is refused since it was sent
	Undelivered BreakReason = "undelivered" // its endpoint left before all of the request had arrived
	ErrorStatus BreakReason = "faulty"      // the endpoint answered with an error status
)
