package admit

import (
	"github.com/plantainmux/plantainmux/internal/peer"
	"github.com/plantainmux/plantainmux/internal/view"
)

// Dependencies are the components and settings that a Gate needs.
type Dependencies struct {
	Views    *view.Store
	Mesh     peer.Mesh
	Declared int // number of daemons of the data centre in the settings, including this one
	Bounds   Bounds
}
