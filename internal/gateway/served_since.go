package gateway

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/placement"
)

// servedSince reports whether a group has sent an event to any daemon later than a time, as far as this
// daemon knows. It is asked for times at which the group had been silent for longer than the error of the
// times that other daemons tell.
func (g *Gateway) servedSince(group string, epoch uint64, since time.Time) bool {
	meter := g.meters.Find(placement.GroupKey(group, epoch))
	return meter != nil && meter.EventSince(since)
}
