package peer

import "github.com/plantainmux/plantainmux/internal/fleet"

// Address is where another daemon listens for peers.
type Address struct {
	HostPort   string // IP number and port
	DataCentre fleet.DataCentre
}
