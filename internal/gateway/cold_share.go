package gateway

import "time"

// shareSettling is how long after its registration a daemon has no share of cold endpoints: the
// others read a registration within some 0.5 s, through a reader within 1 s, and then leave room.
const shareSettling = 2 * time.Second

// sharingDaemons returns the registered daemons that share the limits of cold endpoints, and how many
// have ever been registered. It returns none while this daemon does not know them, or they may not
// know it.
func (g *Gateway) sharingDaemons(now time.Time) (daemons []string, ever int) {
	registeredAt := g.registeredAt.Load()
	if registeredAt == nil || now.Sub(*registeredAt) < shareSettling || !g.daemons.Synced() {
		return nil, 0
	}
	return g.gossip.Registered(now)
}

// noteRegistered records that the store has accepted this daemon's registration.
func (g *Gateway) noteRegistered(now time.Time) { g.registeredAt.CompareAndSwap(nil, &now) }
