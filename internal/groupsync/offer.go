package groupsync

import (
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/infra"
)

// offer is the log offset up to which a peer has a state.
type offer struct {
	from fleet.DaemonID
	next infra.Offset
}
