package view

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/config"
	"github.com/plantainmux/plantainmux/internal/fleet"
)

// View is one immutable snapshot.
type View struct {
	Config   config.Versioned
	Teams    map[string]config.Team // by SHA-256 of an API key, in hex
	Services map[string]config.Service
	Groups   []*Serving // complete groups only
	Status   []GroupStatus
	// GroupsKnown reports whether the groups have been read from the log or a
	// peer. Until then Groups is empty because nothing has been read.
	GroupsKnown bool
	At          time.Time
}

// Group returns the complete group with a fencing number.
func (v *View) Group(fencing fleet.FencingNumber) (*Serving, bool) {
	for _, group := range v.Groups {
		if group.Fencing == fencing {
			return group, true
		}
	}
	return nil, false
}

// StatusOf returns the status of the group with a fencing number.
func (v *View) StatusOf(fencing fleet.FencingNumber) (GroupStatus, bool) {
	for _, status := range v.Status {
		if status.Fencing == fencing {
			return status, true
		}
	}
	return GroupStatus{}, false
}

// Model returns the configured model with a name.
func (v *View) Model(name fleet.ModelName) (config.Model, bool) {
	for _, model := range v.Config.Models {
		if model.Name == name {
			return model, true
		}
	}
	return config.Model{}, false
}
