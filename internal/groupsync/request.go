package groupsync

import "github.com/plantainmux/plantainmux/internal/infra"

// Request asks a peer how far its state is.
type Request struct {
	Snapshot bool         `cbor:"1,keyasint"` // send the state too
	Above    infra.Offset `cbor:"2,keyasint"` // unless it is below this offset
}
