package testbed

import (
	"github.com/plantainmux/plantainmux/internal/callerapi"
	"github.com/plantainmux/plantainmux/internal/config"
	"github.com/plantainmux/plantainmux/internal/fleet"
)

// TeamKey is the API key of the team in SampleConfig.
const TeamKey = "testbed-team-key"

// SampleModel is the name of the model in SampleConfig.
const SampleModel fleet.ModelName = "swatch-draft"

// SampleConfig returns a configuration with one model that has count groups of two
// VMs in each data centre, and one team.
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
