package forward

import (
	"context"

	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/peer"
)

// Mesh connects the daemons that forward exchanges. It is part of peer.Mesh.
type Mesh interface {
	OpenStreamTo(ctx context.Context, to fleet.DaemonID, method peer.Method, body any) (peer.Stream, error)
	HandleStream(method peer.Method, handler peer.StreamHandler)
}
