package settings

import "github.com/plantainmux/plantainmux/internal/fleet"

// Settings holds the local settings of one daemon.
type Settings struct {
	DataCentre fleet.DataCentre `yaml:"data_centre"`
	Listen     Listen           `yaml:"listen"`
	Platform   Platform         `yaml:"platform"`
	Peers      []Peer           `yaml:"peers"`
	PeerSecret string           `yaml:"peer_secret"` // shared by all daemons; at least 16 characters
	AdminToken string           `yaml:"admin_token"` // bearer token of operators; at least 16 characters
	TLS        TLS              `yaml:"tls,omitempty"`
	Limits     Limits           `yaml:"limits,omitempty"`
	Timing     Timing           `yaml:"timing,omitempty"`
}
