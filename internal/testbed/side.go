package testbed

import "fmt"

// Side is one direction in which a daemon can be cut off.
type Side string

// Sides of a daemon.
const (
	SideLog      Side = "log"
	SideVMs      Side = "vms"
	SideEngines  Side = "engines"
	SideServices Side = "services"
	SidePeers    Side = "peers" // all other daemons, in both directions
)

// CutError is the failure of a call to a side that is cut off.
type CutError struct {
	Side Side
}

// Error implements error.
func (e *CutError) Error() string {
	return fmt.Sprintf("cut off from %s", e.Side)
}
