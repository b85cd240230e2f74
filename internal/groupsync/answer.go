package groupsync

import "github.com/plantainmux/plantainmux/internal/infra"

// Answer describes a peer's state of the groups.
type Answer struct {
	HasState bool         `cbor:"1,keyasint"` // the peer has a state
	Next     infra.Offset `cbor:"2,keyasint"` // offset after the last record of the state
	Snapshot []byte       `cbor:"3,keyasint"` // the encoded state, if requested
}
