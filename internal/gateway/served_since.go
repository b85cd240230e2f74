package gateway

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/placement"
)

// servedSince reports whether a group has sent an event to any daemon later than a time, as far as this
// daemon knows.
func (g *Gateway) servedSince(group string, epoch uint64, since time.Time) bool {
	meter := g.meters.Find(placement.GroupKey(group, epoch))
	return meter != nil && meter.EventSince(since.Add(eventTimeTolerance))
}
