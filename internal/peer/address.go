package peer

import "github.com/plantainmux/plantainmux/internal/fleet"

// Address is the peer address of another daemon.
type Address struct {
	HostPort   string // IP number and port
	DataCentre fleet.DataCentre
}
