package watch

import (
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/peer"
)

// reports tells peers what has changed in a daemon's own observations, or all
// of them when Base is zero. Times are ages at Stamp.
type reports struct {
	_       struct{} `cbor:",toarray"`
	Stamp   peer.Stamp
	Base    uint64 // digest before the change
	Digest  uint64 // digest after it
	Items   []reportItem
	Removed []fleet.VMID // no longer watched
}
