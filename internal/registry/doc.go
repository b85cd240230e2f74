// Package registry holds what the endpoints say of themselves in the store, as
// one immutable snapshot, and decides when an endpoint whose entry is missing is
// taken as gone.
package registry
