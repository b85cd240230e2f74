// Package peer implements the mesh between daemons: publication of soft state
// by topic, calls with one answer, and calls with a stream of answers. The mesh
// never decides exclusive ownership of anything.
package peer
