package admit

import "github.com/plantainmux/plantainmux/internal/fleet"

// Usage is a snapshot of the usage that a daemon has published to its data centre.
type Usage struct {
	_      struct{} `cbor:",toarray"`
	Models []ModelUsage
}

// ModelUsage is the demand for one model on one daemon.
type ModelUsage struct {
	_     struct{} `cbor:",toarray"`
	Model fleet.ModelName
	Teams []TeamUsage
}
