package testbed

import "fmt"

// Side is a dependency of a daemon to which its connection can be cut.
type Side string

// Sides of a daemon that can be cut.
const (
	SideLog      Side = "log"
	SideVMs      Side = "vms"
	SideEngines  Side = "engines"
	SideServices Side = "services"
	SidePeers    Side = "peers" // all other daemons, in both directions
)

// CutError is the error of a call to a side that is cut.
type CutError struct {
	Side Side
}

// Error implements error.
func (e *CutError) Error() string {
	return fmt.Sprintf("cut off from %s", e.Side)
}
