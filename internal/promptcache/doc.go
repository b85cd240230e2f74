// Package promptcache keeps what a daemon believes a group's engine to hold in
// its prefix cache. It is a hint for routing; nothing correct depends on it.
//
// It learns from the daemon's own requests and from the engine's cache events,
// which come late and with gaps. Memory is bounded: an index has a fixed number
// of slots, and a newer block takes the slot of an older one.
package promptcache
