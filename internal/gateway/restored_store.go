package gateway

import (
	"slices"

	"github.com/plantainmux/plantainmux/internal/keyed"
)

// refreshAll reads all topics again, as the store has come back from an older copy: the records
// that long polls wait for may be lost.
func (g *Gateway) refreshAll(era uint64) {
	g.logger.Warn("store is in a new era", "era", era)
	for _, follower := range []*keyed.Follower{g.configs, g.entries, g.groups, g.daemons} {
		follower.Refresh(true)
	}
}

// applyRegistrations passes on the registrations of the daemons, and has this daemon's own
// written again if the store has lost it, or has carried out one of an earlier life after it.
func (g *Gateway) applyRegistrations(batch keyed.Batch) {
	superseded := g.gossip.Apply(batch)
	own := func(record keyed.Record) bool { return record.Key == g.settings.Node }
	if !superseded && (!batch.Restored || slices.ContainsFunc(batch.Records, own)) {
		return
	}
	select {
	case g.registrationLost <- struct{}{}:
	default:
	}
}
