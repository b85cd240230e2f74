package gossip

import (
	"slices"
	"time"
)

// registrationTTL is how long a registration counts of a daemon that is not heard: much longer than
// daemons are cut off or restart. VMs that are gone for good hold no shares after that.
const registrationTTL = 10 * time.Minute

// Registered returns the names of the daemons whose registrations count, this one included, sorted,
// and the number of all that have ever been registered. The result does not depend on which daemons
// hear each other: unheard ones stop counting only at a daemon that still hears more than half of
// them all, so that the parts of a divided fleet do not each take the shares of the others.
func (g *Gossip) Registered(now time.Time) (counting []string, ever int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	heard := []string{g.Node}
	all := []string{g.Node}
	for name, peer := range g.peers {
		all = append(all, name)
		if now.Sub(peer.lastSeen) < registrationTTL || now.Sub(peer.learntAt) < registrationTTL {
			heard = append(heard, name)
		}
	}
	counting = all
	if 2*len(heard) > len(all) {
		counting = heard
	}
	slices.Sort(counting)
	return counting, len(g.everRegistered) + 1
}
