package adminapi

import (
	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/group"
	"github.com/plantainmux/plantainmux/internal/view"
)

// ModelStatus compares the groups of a model that are wanted in the daemon's
// data centre with those that serve.
type ModelStatus struct {
	Name    fleet.ModelName `json:"name"`
	Version string          `json:"version"`
	Wanted  int             `json:"wanted"`
	Serving int             `json:"serving"` // complete groups, of any version
}

// Models returns the models that are wanted in a data centre.
func Models(v *view.View, dataCentre fleet.DataCentre) []ModelStatus {
	var models []ModelStatus
	for _, model := range v.Config.Models {
		wanted := model.ReplicasIn(dataCentre)
		if wanted == 0 {
			continue
		}
		models = append(models, ModelStatus{Name: model.Name, Version: model.Version, Wanted: wanted, Serving: serving(v, model.Name)})
	}
	return models
}

func serving(v *view.View, model fleet.ModelName) int {
	count := 0
	for _, status := range v.Status {
		if status.Model == model && status.Condition == group.Complete {
			count++
		}
	}
	return count
}
