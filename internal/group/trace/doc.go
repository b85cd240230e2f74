// Package trace replays fixed fault traces through the group fold and a policy on
// a simulated clock, and measures group downtime and stranded accelerators. It
// evaluates decisions only: there is no network, and a proposal is applied and an
// order carried out within the step in which it is made.
package trace
