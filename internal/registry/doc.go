// Package registry holds the endpoints' entries in the store as an immutable
// snapshot, and decides when an endpoint without an entry is removed.
package registry
