package callerapi

import (
	"encoding/json"
	"net/http"

	"github.com/plantainmux/plantainmux/internal/config"
	"github.com/plantainmux/plantainmux/internal/refusal"
)

type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

// models lists the configured models and their adapters.
func (s *Server) models(w http.ResponseWriter, _ *http.Request, _ config.Team) {
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, model := range s.Views.Load().Config.Models {
		list.Data = append(list.Data, modelEntry{ID: string(model.Name), Object: "model"})
		for _, adapter := range model.Adapters {
			list.Data = append(list.Data, modelEntry{ID: string(model.Name) + adapterSeparator + adapter, Object: "model"})
		}
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(refusal.OutcomeHeader, string(refusal.Done))
	_ = json.NewEncoder(w).Encode(list)
}
