package view

import (
	"slices"
	"time"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// Serving is a complete group as the request path sees it. All fields but Load are
// immutable.
type Serving struct {
	fleet.Group
	LeaderAddress string
	ValidUntil    time.Time // expiry of the reports that the view is built from
	Capacity      int       // concurrent requests
	Running       int       // requests, by the leader's last report
	Waiting       int       // requests, by the leader's last report
	Load          *Load
}

// Proven reports whether the reports that show the group as complete are still
// valid at now. After a process pause they may have expired.
func (s *Serving) Proven(now time.Time) bool {
	return now.Before(s.ValidUntil)
}

// Serves reports whether the group serves a model with an adapter. An empty
// adapter means the base model.
func (s *Serving) Serves(name fleet.ModelName, adapter string) bool {
	if s.Model != name {
		return false
	}
	return adapter == "" || slices.Contains(s.Adapters, adapter)
}
