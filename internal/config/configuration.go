package config

import "github.com/plantainmux/plantainmux/internal/fleet"

// Configuration is all that operators declare. One record of the configuration
// stream holds one whole Configuration.
type Configuration struct {
	Models   []Model   `yaml:"models" json:"models"`
	Teams    []Team    `yaml:"teams" json:"teams"`
	Services []Service `yaml:"services" json:"services"`
	Policy   Policy    `yaml:"policy" json:"policy"`
	// DataCentres, when given, are the only ones that may be named.
	DataCentres []fleet.DataCentre `yaml:"data_centres,omitempty" json:"data_centres,omitempty"`
}
