package settings

import "github.com/plantainmux/plantainmux/internal/fleet"

// Peer is the address and the data centre of another daemon.
type Peer struct {
	Address    string           `yaml:"address"` // IP address and port of its peer listener
	DataCentre fleet.DataCentre `yaml:"data_centre"`
}
