package gateway

import "time"

// reachedByOthers reports whether another daemon has told of an event of a target later than a
// time. It implements reach.Vouch.
func (g *Gateway) reachedByOthers(target string, since time.Time) bool {
	meter := g.meters.Find(target)
	return meter != nil && meter.RemoteEventSince(since.Add(eventTimeTolerance))
}
