package testbed

import (
	"github.com/plantainmux/plantainmux/internal/callerapi"
	"github.com/plantainmux/plantainmux/internal/config"
	"github.com/plantainmux/plantainmux/internal/fleet"
)

// TeamKey is the key of the team of SampleConfig.
const TeamKey = "testbed-team-key"

// SampleModel is the model of SampleConfig.
const SampleModel fleet.ModelName = "swatch-draft"

// SampleConfig wants count groups of two VMs in each data centre.
func SampleConfig(count int, dataCentres ...fleet.DataCentre) config.Configuration {
	model := config.Model{
		Name:          SampleModel,
		Version:       "v1",
		Adapters:      []string{"paper"},
		Members:       2,
		Requests:      16,
		ChecksFencing: true,
		LoadSeconds:   1,
	}
	for _, dataCentre := range dataCentres {
		model.Replicas = append(model.Replicas, config.Replicas{DataCentre: dataCentre, Count: count})
	}
	return config.Configuration{
		Models: []config.Model{model},
		Teams:  []config.Team{{Name: "merchants", KeyHashes: []string{callerapi.HashKey(TeamKey)}, Share: 1}},
		Policy: config.Policy{DowntimeWeight: 1, StrandedWeight: 1},
	}
}
