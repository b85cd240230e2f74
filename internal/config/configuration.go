package config

import "github.com/plantainmux/plantainmux/internal/fleet"

// Configuration is everything that operators declare. Each record of the
// configuration stream holds a complete Configuration.
type Configuration struct {
	Models   []Model   `yaml:"models" json:"models"`
	Teams    []Team    `yaml:"teams" json:"teams"`
	Services []Service `yaml:"services" json:"services"`
	Policy   Policy    `yaml:"policy" json:"policy"`
	// DataCentres, if not empty, lists the data centres that the other fields may
	// refer to.
	DataCentres []fleet.DataCentre `yaml:"data_centres,omitempty" json:"data_centres,omitempty"`
}
