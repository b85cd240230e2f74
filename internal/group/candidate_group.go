package group

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/config"
)

// candidateGroup is one group with what the planner found out about it.
type candidateGroup struct {
	*Record
	model    *config.Model // nil when it is no longer configured
	standing standing
	silence  time.Duration // of its most silent member
	outdated bool          // of another version, size or set of adapters
	unsteady bool          // a member has failed too often lately
	ended    bool          // released or drained by this plan
}

// replaceable reports whether the group serves only until a better one does.
func (g *candidateGroup) replaceable() bool {
	return g.outdated || g.unsteady
}
