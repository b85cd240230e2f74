package retry

// Denial is the reason why a failed attempt is not retried.
type Denial string

// Reasons for denying a retry.
const (
	Allowed    Denial = ""
	NoBudget   Denial = "budget"        // retries would exceed their share of the successes
	NoTime     Denial = "deadline"      // the delay reaches beyond the request's deadline
	NoAttempts Denial = "attempts"      // the request has used all its attempts
	NoGroup    Denial = "no_group"      // no other group serves the model
	Delivered  Denial = "delivered"     // part of the answer reached the caller and another group cannot continue it exactly
	CallerLeft Denial = "caller_left"   // the caller closed the connection
	Suspected  Denial = "crash_suspect" // the request crashed endpoints
)

// Denials lists every denial that has a counter.
var Denials = []Denial{NoBudget, NoTime, NoAttempts, NoGroup, Delivered, CallerLeft, Suspected}
