package retry

// Denial says why a failed attempt is not made again.
type Denial string

// Reasons of a denial.
const (
	Allowed    Denial = ""
	NoBudget   Denial = "budget"        // retries would exceed their share of the successes
	NoTime     Denial = "deadline"      // the delay reaches beyond the request's deadline
	NoAttempts Denial = "attempts"      // the request has had all its attempts
	NoGroup    Denial = "no_group"      // no other group serves the model
	Delivered  Denial = "delivered"     // a part of the answer is out and cannot be continued exactly
	CallerLeft Denial = "caller_left"   // nobody waits for the answer
	Suspected  Denial = "crash_suspect" // the request crashed endpoints
)

// Denials lists every denial, for the metrics page.
var Denials = []Denial{NoBudget, NoTime, NoAttempts, NoGroup, Delivered, CallerLeft, Suspected}
