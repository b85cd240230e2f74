// Package promptcache estimates which prompt blocks a group's engine has in its prefix
// cache. The estimate is a routing hint; correctness does not depend on it.
//
// It is updated by the daemon's own requests and by the engine's cache events, which
// arrive late and with gaps. Memory is bounded: an index has a fixed number of slots,
// and a newer block overwrites an older one in the same slot.
package promptcache
