package admit

import (
	"github.com/plantainmux/plantainmux/internal/peer"
	"github.com/plantainmux/plantainmux/internal/view"
)

// Dependencies are what a gate works with.
type Dependencies struct {
	Views    *view.Store
	Mesh     peer.Mesh
	Declared int // daemons of the data centre by the settings, the own one included
	Bounds   Bounds
}
