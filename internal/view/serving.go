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
	Capacity      int // concurrent requests
	Running       int // by the leader's late report
	Waiting       int // by the leader's late report
	Load          *Load
	// ProvenUntil is when the oldest report of a member stops proving that the
	// group is complete. Zero is no limit.
	ProvenUntil time.Time
}

// Proven reports whether the group's completeness is still proven at now. A
// process that was paused holds a view that no longer is.
func (s *Serving) Proven(now time.Time) bool {
	return s.ProvenUntil.IsZero() || now.Before(s.ProvenUntil)
}

// Serves reports whether the group answers for a model and adapter. An empty
// adapter is the plain model.
func (s *Serving) Serves(name fleet.ModelName, adapter string) bool {
	if s.Model != name {
		return false
	}
	return adapter == "" || slices.Contains(s.Adapters, adapter)
}
