package settings

import "github.com/plantainmux/plantainmux/internal/fleet"

// Peer is another daemon.
type Peer struct {
	Address    string           `yaml:"address"` // IP number and port of its peer listener
	DataCentre fleet.DataCentre `yaml:"data_centre"`
}
