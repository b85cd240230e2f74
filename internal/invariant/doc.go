// Package invariant checks the invariants of groups against the data that the fakes
// recorded: the records of a group stream, and the control orders and requests that
// each engine received, with their times. It uses no daemon's state and shares no
// code with the fold of the group stream.
package invariant
