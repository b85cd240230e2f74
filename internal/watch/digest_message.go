package watch

import "github.com/plantainmux/plantainmux/internal/peer"

// digestMessage confirms to the peers that a daemon's own list still has the given
// digest. Its size depends little on the length of the list. VMs are identified
// by their index in the sorted list.
type digestMessage struct {
	_      struct{} `cbor:",toarray"`
	Stamp  peer.Stamp
	Digest uint64
	Age    peer.Stamp // at Stamp, of the oldest last poll of the VMs that are not late, from its start
	Late   []uint32   // index and age of each VM whose last poll began before the round
	Loads  []uint32   // index, running and waiting requests of each VM that has any
}
