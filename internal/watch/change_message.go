package watch

import (
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/peer"
)

// changeMessage publishes the changes in a daemon's own observations, or the full
// list if Base is zero. Times are encoded as ages at Stamp.
type changeMessage struct {
	_       struct{} `cbor:",toarray"`
	Stamp   peer.Stamp
	Base    uint64 // digest before the change
	Digest  uint64 // digest after it
	Items   []reportItem
	Removed []fleet.VMID // no longer watched
}
