// Package awake decides whether a time limit has passed for a process that may stand still at any moment: one that
// is stopped, or has used up its share of processor time, runs its timers on waking before it has read what arrived
// meanwhile. It has no clock and does no I/O.
package awake
