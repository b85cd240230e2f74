package config

import "github.com/plantainmux/plantainmux/internal/fleet"

// Replicas is the configured number of groups of a model in one data centre.
type Replicas struct {
	DataCentre fleet.DataCentre `yaml:"data_centre" json:"data_centre"`
	Count      int              `yaml:"count" json:"count"`
}
