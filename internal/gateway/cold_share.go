package gateway

import "time"

// shareSettling is how long after its registration a daemon has no share of cold endpoints: the
// others read a registration within some 0.5 s, through a reader within 1 s, and then leave room.
const shareSettling = 2 * time.Second

// sharingDaemons returns the registered daemons that share the limits of cold endpoints, and how many
// have ever been registered. It returns none while this daemon does not know them, or they may not
// know it.
func (g *Gateway) sharingDaemons(now time.Time) (daemons []string, ever int) {
	if !mayShare(g.registeredAt.Load(), g.daemons.Synced(), now) {
		return nil, 0
	}
	return g.gossip.Registered(now)
}

// mayShare reports whether a daemon may share limits that was registered at a time, nil if it has not
// been yet. synced states whether it has read the registrations.
func mayShare(registeredAt *time.Time, synced bool, now time.Time) bool {
	return synced && registeredAt != nil && now.Sub(*registeredAt) >= shareSettling
}

// noteRegistered records that the store has accepted this daemon's registration.
func (g *Gateway) noteRegistered(now time.Time) { g.registeredAt.CompareAndSwap(nil, &now) }
