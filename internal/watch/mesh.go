package watch

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/peer"
)

// Mesh is the peer network as this package uses it.
type Mesh interface {
	peer.Mesh
	// StampAt returns the stamp of this daemon's clock at a time.
	StampAt(at time.Time) peer.Stamp
	// Earliest converts a stamp of another daemon's clock to local time. The
	// result is a lower bound. It returns false while the offset of that clock
	// is unknown.
	Earliest(from fleet.DaemonID, stamp peer.Stamp) (time.Time, bool)
}
