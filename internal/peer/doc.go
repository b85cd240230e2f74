// Package peer is the mesh between daemons: soft state published by topic,
// calls with one answer, and calls with a stream of answers. Nothing exclusive
// is ever decided by it.
package peer
