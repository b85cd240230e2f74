package watch

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/peer"
)

// Mesh is the peer network as this package uses it.
type Mesh interface {
	peer.Mesh
	// TimestampAt returns the timestamp of this daemon's clock at a time.
	TimestampAt(at time.Time) peer.Timestamp
	// EarliestTime converts a timestamp of another daemon's clock to local time. The
	// result is a lower bound. It returns false while the offset of that clock
	// is unknown.
	EarliestTime(from fleet.DaemonID, timestamp peer.Timestamp) (time.Time, bool)
}
