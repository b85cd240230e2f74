// Package order runs calls that are not idempotent at most once.
//
// The log decides who may run a key: the first claim of a key in the stream of
// its slot wins, and only its writer may dispatch, once, before the deadline.
// The claimant then records the outcome with the answer. A repeat is answered
// from the record; it never runs anything.
//
// What is never undone by time, clocks or other daemons: a claim whose claimant
// does not settle it stays unsettled. Any daemon may mark it unclear after its
// deadline and a bound, which only tells operators. An operator may settle it
// by hand; a key settled as not run is closed and never runs, because its
// claimant may still wake.
//
// "Not run" speaks of one request. It is said when the claimant proved that no
// byte went to the service, or gave its claim up before dispatch. It is never
// said of a request that another daemon was given and whose answer was lost.
//
// A log that is slow delays orders: a claim waits for its verdict while the log
// serves calls, up to three quarters of the order's time. A log that serves none
// for a few seconds counts as away.
//
// With the log away an order is refused as not run, at once after the first
// ones have found out. A call that declares refuses_repeated_keys is then run
// without a claim, with its key passed on: this package guarantees that each
// request sends it at most once, and the service, which refuses a key that it
// has run, guarantees the rest. Its outcome is recorded when the log takes it
// within a few seconds, else the service alone knows the key.
//
// Keys live for their declared time and an hour, by the stream's clock. That
// clock adds up the time between two records of the same daemon, at most half
// an hour each, and counts what two daemons vouch for. So clocks that are wrong
// by any fixed time, on however many daemons, expire no key early; nor does one
// step of each clock. Daemons write their records by a clock that is not
// stepped, so that it takes two daemons whose clocks run too fast. A daemon
// that alone writes to a slot is believed a day late. A clock that lags keeps
// keys for longer.
package order
