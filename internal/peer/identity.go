package peer

import "github.com/plantainmux/plantainmux/internal/fleet"

// identity is what a daemon says of itself when a link begins.
type identity struct {
	_          struct{} `cbor:",toarray"`
	Version    int
	Daemon     fleet.DaemonID
	DataCentre fleet.DataCentre
}
