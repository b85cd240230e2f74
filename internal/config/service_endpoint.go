package config

import "github.com/plantainmux/plantainmux/internal/fleet"

// ServiceEndpoint is one endpoint of a plain service.
type ServiceEndpoint struct {
	Address    string           `yaml:"address" json:"address"` // IP number and port
	DataCentre fleet.DataCentre `yaml:"data_centre" json:"data_centre"`
}
