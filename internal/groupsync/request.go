package groupsync

import "github.com/plantainmux/plantainmux/internal/platform"

// Request asks a peer how far its state is.
type Request struct {
	Snapshot bool            `cbor:"1,keyasint"` // send the state too
	Above    platform.Offset `cbor:"2,keyasint"` // unless it is below this offset
}
