package watch

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/peer"
)

// Mesh is what watching uses of the peers.
type Mesh interface {
	peer.Mesh
	// StampAt returns what the own clock showed at a time.
	StampAt(at time.Time) peer.Stamp
	// Earliest returns a time that is not later than the moment when another
	// daemon's clock showed stamp, or false while that clock is unknown.
	Earliest(from fleet.DaemonID, stamp peer.Stamp) (time.Time, bool)
}
