package gossip

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/demand"
)

// Demand returns the demand that the other daemons tell of. It leaves out daemons that are not
// live, and data centres whose digest is not fresh and whose daemons are not heard directly, so
// that nothing is older than what Loads counts.
func (g *Gossip) Demand(now time.Time) []demand.Report {
	var reports [][]demand.Report
	g.eachDigest(now, func(digest *Digest) { reports = append(reports, digest.Demand) })
	return demand.Sum(reports...)
}

// HearsMajority reports whether this daemon and the live ones that it hears are more than half of
// the registered daemons, and whether there are any others that it hears.
func (g *Gossip) HearsMajority(now time.Time) bool {
	live := 1
	g.eachLive(now, func(*Peer) { live++ })
	g.mu.Lock()
	defer g.mu.Unlock()
	return live > 1 && 2*live > len(g.peers)+1
}
