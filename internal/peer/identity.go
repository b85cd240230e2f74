package peer

import "github.com/plantainmux/plantainmux/internal/fleet"

// identity is how a daemon identifies itself in a handshake.
type identity struct {
	_          struct{} `cbor:",toarray"`
	Version    int
	Daemon     fleet.DaemonID
	DataCentre fleet.DataCentre
}
