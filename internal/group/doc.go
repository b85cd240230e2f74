// Package group holds the group state machine of a data centre, the health
// check of a group, and the planner that forms and releases groups. It does no
// I/O and takes the current time as an argument.
package group
