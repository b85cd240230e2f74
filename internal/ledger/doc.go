// Package ledger keeps the groups of endpoints as records of one topic of the
// store. The offset of a group's record is its fencing number. A record is
// appended only at the end that its writer has read, so that no two daemons ever
// grant one endpoint to two groups.
package ledger
