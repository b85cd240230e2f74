package config

import "github.com/plantainmux/plantainmux/internal/fleet"

// Model declares one served model.
type Model struct {
	Name          fleet.ModelName `yaml:"name" json:"name"`
	Version       string          `yaml:"version" json:"version"`
	Adapters      []string        `yaml:"adapters,omitempty" json:"adapters,omitempty"`
	Members       int             `yaml:"members" json:"members"`                       // VMs of one replica
	Replicas      []Replicas      `yaml:"replicas" json:"replicas"`                     // groups wanted in each data centre
	Requests      int             `yaml:"requests" json:"requests"`                     // concurrent requests of one group
	Value         float64         `yaml:"value,omitempty" json:"value"`                 // weight of its downtime; 0 means 1
	ChecksFencing bool            `yaml:"checks_fencing" json:"fencing"`                // its engines refuse old fencing numbers
	Deterministic bool            `yaml:"deterministic,omitempty" json:"deterministic"` // equal requests get equal answers, token by token
	LoadSeconds   int             `yaml:"load_seconds" json:"load_seconds"`             // usual time to load the weights
}

// ReplicasIn returns the number of groups wanted in a data centre.
func (m Model) ReplicasIn(dataCentre fleet.DataCentre) int {
	for _, replicas := range m.Replicas {
		if replicas.DataCentre == dataCentre {
			return replicas.Count
		}
	}
	return 0
}
