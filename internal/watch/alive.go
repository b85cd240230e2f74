package watch

import "github.com/plantainmux/plantainmux/internal/peer"

// alive tells peers that a daemon's own observations are still those of a
// digest. Its size hardly depends on their number. VMs are given by their place
// in the order of their names.
type alive struct {
	_      struct{} `cbor:",toarray"`
	Stamp  peer.Stamp
	Digest uint64
	Age    peer.Stamp // at Stamp, since the last poll of each VM began, unless it is late
	Late   []uint32   // place and age of each VM whose last poll is older
	Loads  []uint32   // place, running and waiting requests of each VM that has any
}
