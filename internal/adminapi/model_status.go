package adminapi

import (
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/group"
	"github.com/plantainmux/plantainmux/internal/view"
)

// ModelStatus compares the configured number of groups of a model in the daemon's
// data centre with the number that serve.
type ModelStatus struct {
	Name    fleet.ModelName `json:"name"`
	Version string          `json:"version"`
	Wanted  int             `json:"wanted"`
	Serving int             `json:"serving"` // complete groups, of any version
}

// Models returns the status of each model that is configured with at least one
// replica in a data centre.
func Models(v *view.View, dataCentre fleet.DataCentre) []ModelStatus {
	var models []ModelStatus
	for _, model := range v.Config.Models {
		wanted := model.ReplicasIn(dataCentre)
		if wanted == 0 {
			continue
		}
		models = append(models, ModelStatus{Name: model.Name, Version: model.Version, Wanted: wanted, Serving: servingGroups(v, model.Name)})
	}
	return models
}

// servingGroups counts the complete groups of a model.
func servingGroups(v *view.View, model fleet.ModelName) int {
	count := 0
	for _, status := range v.Status {
		if status.Model == model && status.Condition == group.Complete {
			count++
		}
	}
	return count
}
