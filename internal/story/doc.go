// Package story finds in the log lines of all daemons what became of one
// request, and what they learnt meanwhile of the groups and endpoints that it was
// sent to.
package story
