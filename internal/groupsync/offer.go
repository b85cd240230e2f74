package groupsync

import (
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/infra"
)

// offer says how far the state of a peer is.
type offer struct {
	from fleet.DaemonID
	next infra.Offset
}
