package group

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/config"
)

// candidateGroup is one group with the planner's assessment.
type candidateGroup struct {
	*Record
	model     *config.Model // nil if it is no longer configured
	state     groupState
	reportAge time.Duration // age of the oldest report of its members
	outdated  bool          // version, size or adapters differ from the configuration
	flapping  bool          // a member is flapping
	ended     bool          // released or drained by this plan
}

// replaceable reports whether the group serves only until a replacement does.
func (g *candidateGroup) replaceable() bool {
	return g.outdated || g.flapping
}
