package groupsync

import "github.com/plantainmux/plantainmux/internal/infra"

// Request asks a peer for the offset of its state and optionally for the state.
type Request struct {
	Snapshot  bool         `cbor:"1,keyasint"` // also send the state
	MinOffset infra.Offset `cbor:"2,keyasint"` // omit the state if it ends below this offset
}
