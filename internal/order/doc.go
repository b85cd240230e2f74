// Package order runs calls that are not idempotent at most once.
//
// The keys are distributed over slots, and each slot has a stream in the log. The
// log decides which daemon may run a key: the first claim of a key in the stream
// wins, and only its writer (the claimant) may dispatch the order, once and before
// the deadline. The claimant then records the outcome with the answer. A repeat
// of the request is answered from that record and is never dispatched.
//
// A claim that its claimant does not settle stays unsettled: neither elapsed time
// nor another daemon can release it. After its deadline plus unclearAfter any
// daemon may mark the claim as unclear, which only informs operators. An operator
// may settle an unclear order by hand. A key that was settled as not run is
// closed and never runs again, because a paused claimant may still resume and
// dispatch it.
//
// "Not run" refers to one request. It is reported when the claimant proved that
// no byte was sent to the service, or withdrew its claim before dispatch. It is
// never reported for a request that was forwarded to another daemon whose answer
// was lost.
//
// A slow log delays orders: a claim waits for its verdict while the log answers
// calls, up to three quarters of the order's timeout. A log that answers no call
// for the claim timeout, a few seconds, counts as unavailable.
//
// While the log is unavailable, orders are refused as not run; once the first
// ones have timed out, a circuit breaker refuses the others at once. A call that
// declares refuses_repeated_keys is run without a claim instead, and its key is
// sent along: this package guarantees that each request is sent at most once, and
// the service guarantees that a key runs at most once by rejecting a key that it
// has run. The outcome is recorded if the log accepts it within a few seconds;
// otherwise only the service knows the key.
//
// A key is retained for its declared lifetime plus one hour of stream time.
// Stream time sums up the time between two records of the same daemon, at most
// half an hour each, and advances only as far as two daemons agree. So clocks that
// are wrong by a constant offset, on any number of daemons, expire no key early;
// neither does one step of each clock. Daemons write their records by a clock
// that is never stepped, so only two daemons whose clocks run too fast can expire
// keys early. For a slot with a single writing daemon, stream time lags a day
// behind. A clock that runs slow extends the retention.
package order
