package config

import "github.com/plantainmux/plantainmux/internal/fleet"

// Model declares one served model.
type Model struct {
	Name          fleet.ModelName `yaml:"name" json:"name"`
	Version       string          `yaml:"version" json:"version"`
	Adapters      []string        `yaml:"adapters,omitempty" json:"adapters,omitempty"`
	Members       int             `yaml:"members" json:"members"`                       // VMs per group
	Replicas      []Replicas      `yaml:"replicas" json:"replicas"`                     // number of groups per data centre
	Requests      int             `yaml:"requests" json:"requests"`                     // maximum concurrent requests per group
	Value         float64         `yaml:"value,omitempty" json:"value"`                 // weight of the model's downtime; 0 means 1
	ChecksFencing bool            `yaml:"checks_fencing" json:"fencing"`                // engines reject old fencing numbers
	Deterministic bool            `yaml:"deterministic,omitempty" json:"deterministic"` // equal requests give equal output, token by token
	LoadSeconds   int             `yaml:"load_seconds" json:"load_seconds"`             // typical time to load the weights, in seconds
}

// ReplicasIn returns the configured number of groups in a data centre.
func (m Model) ReplicasIn(dataCentre fleet.DataCentre) int {
	for _, replicas := range m.Replicas {
		if replicas.DataCentre == dataCentre {
			return replicas.Count
		}
	}
	return 0
}
