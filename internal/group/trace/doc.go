// Package trace replays fixed fault traces through the group fold and a policy,
// with a clock of its own, and counts group downtime and stranded accelerators.
// It is a measure of decisions only: there is no network, and a proposal is
// decided and an order obeyed within the step in which it is made.
package trace
