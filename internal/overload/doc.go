// Package overload decides which requests for a model are admitted when its groups are offered
// more than they complete. The decision is a pure function of what a daemon knows.
package overload
