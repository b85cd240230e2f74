package gateway

import (
	"slices"
	"time"

	"github.com/plantainmux/plantainmux/internal/targetstats"
)

// coldEndpoint is an incarnation of an endpoint that is cold.
type coldEndpoint struct {
	id     string
	limit  *targetstats.Limit
	policy targetstats.SharePolicy
	key    string // registry.IncarnationKey
	since  time.Time

	daemons []string // for which the share was last set
	ever    int
}

// share sets the share of a daemon, unless it was set for the same daemons before.
func (e *coldEndpoint) share(node string, daemons []string, ever int, now time.Time) {
	if ever == e.ever && slices.Equal(daemons, e.daemons) {
		return
	}
	e.daemons, e.ever = daemons, ever
	e.limit.SetColdShare(e.policy.Rate(e.key, daemons, ever, node), now)
}
