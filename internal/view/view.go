package view

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/config"
	"github.com/plantainmux/plantainmux/internal/fleet"
)

// View is one immutable snapshot.
type View struct {
	Config   config.Versioned
	Teams    map[string]config.Team // by hex SHA-256 of a key
	Services map[string]config.Service
	Groups   []*Serving // complete groups only
	Status   []GroupStatus
	At       time.Time
}

// ForModel returns the complete groups that serve a model and adapter.
func (v *View) ForModel(name fleet.ModelName, adapter string) []*Serving {
	var groups []*Serving
	for _, group := range v.Groups {
		if group.Serves(name, adapter) {
			groups = append(groups, group)
		}
	}
	return groups
}

// Group returns the complete group of a fencing number.
func (v *View) Group(fencing fleet.FencingNumber) (*Serving, bool) {
	for _, group := range v.Groups {
		if group.Fencing == fencing {
			return group, true
		}
	}
	return nil, false
}

// Model returns the configured model of a name.
func (v *View) Model(name fleet.ModelName) (config.Model, bool) {
	for _, model := range v.Config.Models {
		if model.Name == name {
			return model, true
		}
	}
	return config.Model{}, false
}
