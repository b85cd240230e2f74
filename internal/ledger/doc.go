// Package ledger stores the groups of endpoints as records of one topic of the
// store. The offset of a group's record is its fencing number. Records are
// appended only if the topic still ends at the offset that the writer has read
// (optimistic concurrency control), so two daemons cannot grant one endpoint to
// two groups.
package ledger
