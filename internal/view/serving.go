package view

import (
	"slices"
	"time"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// Serving is one complete group as the path of a request sees it. All but Load
// is immutable.
type Serving struct {
	fleet.Group
	LeaderAddress string
	ValidUntil    time.Time // from then on the reports behind the view prove nothing
	Capacity      int       // concurrent requests
	Running       int       // by the leader's late report
	Waiting       int       // by the leader's late report
	Load          *Load
}

// Proven reports whether the group's completeness is still proven at now. A
// process that was paused holds a view that no longer is.
func (s *Serving) Proven(now time.Time) bool {
	return now.Before(s.ValidUntil)
}

// Serves reports whether the group answers for a model and adapter. An empty
// adapter is the plain model.
func (s *Serving) Serves(name fleet.ModelName, adapter string) bool {
	if s.Model != name {
		return false
	}
	return adapter == "" || slices.Contains(s.Adapters, adapter)
}
