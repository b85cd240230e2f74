package gateway

import (
	"cmp"

	"github.com/plantainmux/plantainmux/internal/catalog"
	"github.com/plantainmux/plantainmux/internal/demand"
	"github.com/plantainmux/plantainmux/internal/placement"
)

// ModelStatus is what a daemon knows of a model of a service.
type ModelStatus struct {
	Service string `json:"service"`
	Model   string `json:"model"`
	// ServingGroups is the number of groups that may take requests, by data centre: none in an
	// evacuated one.
	ServingGroups        map[string]int `json:"serving_groups_by_data_centre"`
	DemandRequestsPerS   *float64       `json:"demand_requests_per_s"`   // over the last 2 s; nil: not known
	CapacityRequestsPerS *float64       `json:"capacity_requests_per_s"` // of these groups; nil: not known
	Utilisation          *float64       `json:"utilisation"`             // demand divided by capacity; nil: not known, or no capacity
}

// newModelStatus returns the status of a model with some targets. The demand of the fleet is nil if
// it is not known.
func newModelStatus(service *catalog.Service, model *catalog.Model, targets []*placement.Target, total *demand.Total) ModelStatus {
	s := ModelStatus{Service: service.Name, Model: model.Name, ServingGroups: map[string]int{}}
	for _, target := range targets {
		s.ServingGroups[target.DataCentre]++
	}
	if total == nil {
		return s // the capacity depends on the tokens of the requests
	}
	s.DemandRequestsPerS = &total.RequestsPerS
	if service.Performance == nil {
		return s
	}
	prompt, output := total.MeanTokens()
	ofGroup := service.Performance.GroupCapacity(model, prompt, output)
	if ofGroup <= 0 {
		return s
	}
	capacity := float64(len(targets)) * ofGroup
	s.CapacityRequestsPerS = &capacity
	if capacity > 0 {
		utilisation := total.RequestsPerS / capacity
		s.Utilisation = &utilisation
	}
	return s
}

func (s ModelStatus) compare(other ModelStatus) int {
	return cmp.Or(cmp.Compare(s.Service, other.Service), cmp.Compare(s.Model, other.Model))
}
