package gateway

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/plantainmux/plantainmux/internal/demand"
	"github.com/plantainmux/plantainmux/internal/evacuation"
)

// StatusPath is the path of a daemon's status, beside its metrics.
const StatusPath = "/status"

// Status is what a daemon knows of the fleet at one time, for operators.
type Status struct {
	Node                string            `json:"node"`
	DataCentre          string            `json:"data_centre"`
	ConfigVersion       *int64            `json:"config_version"` // nil: none yet
	Evacuated           []EvacuatedStatus `json:"evacuated_data_centres"`
	ColdEndpoints       int               `json:"cold_endpoints"`
	Models              []ModelStatus     `json:"models"` // sorted by service and model
	CutOffFromEndpoints bool              `json:"cut_off_from_endpoints"`
	LiveDaemons         int               `json:"live_daemons"` // this one included
}

// EvacuatedStatus is a data centre that takes no requests.
type EvacuatedStatus struct {
	Name          string            `json:"name"`
	EvacuatedForS float64           `json:"evacuated_for_s"` // since this daemon learnt of it
	Source        evacuation.Source `json:"source"`
}

// status returns what this daemon knows now.
func (g *Gateway) status(now time.Time) Status {
	s := Status{
		Node: g.settings.Node, DataCentre: g.settings.DataCentre, Evacuated: []EvacuatedStatus{}, Models: []ModelStatus{},
		ColdEndpoints: g.cold.count(), CutOffFromEndpoints: g.endpoints.Lost(), LiveDaemons: g.liveDaemons(),
	}
	for _, inForce := range g.evacuations.InForce() {
		source := inForce.Source
		if source == evacuation.FromCopy {
			source = evacuation.FromStore // the copy is the store by now
		}
		s.Evacuated = append(s.Evacuated, EvacuatedStatus{Name: inForce.DataCentre, EvacuatedForS: now.Sub(inForce.Since).Seconds(), Source: source})
	}
	current := g.catalogs.Load()
	if current == nil {
		return s
	}
	s.ConfigVersion = &current.Version
	view := g.view.Load()
	for name, service := range current.Services {
		for i := range service.Models {
			model := &service.Models[i]
			var total *demand.Total
			if g.demandKnown.Load() {
				present := g.presentDemand(name, model.Name)
				total = &present
			}
			s.Models = append(s.Models, newModelStatus(service, model, view.Targets(name, model.Name), total))
		}
	}
	slices.SortFunc(s.Models, ModelStatus.compare)
	return s
}

func (g *Gateway) serveStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(g.status(time.Now())) // the reader has gone if this fails
}
