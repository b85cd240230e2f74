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

// ForModel returns the groups that serve a model and adapter and are still known
// to be complete. It looks at the clock itself: a daemon that was paused must
// not go by the view that it published before.
func (v *View) ForModel(name fleet.ModelName, adapter string) []*Serving {
	return v.ForModelAt(name, adapter, time.Now())
}

// ForModelAt returns the groups that serve a model and adapter at now.
func (v *View) ForModelAt(name fleet.ModelName, adapter string, now time.Time) []*Serving {
	var groups []*Serving
	for _, group := range v.Groups {
		if group.Serves(name, adapter) && now.Before(group.ValidUntil) {
			groups = append(groups, group)
		}
	}
	return groups
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
