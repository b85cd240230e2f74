package gossip

import (
	"slices"
	"time"
)

// Live returns the names of the daemons that are alive, including this one, sorted.
func (g *Gossip) Live(now time.Time) []string {
	live := []string{g.Node}
	g.eachLive(now, func(peer *Peer) { live = append(live, peer.Node) })
	slices.Sort(live)
	return live
}

// DataCentreOf returns the data centre of a daemon, and false if it is not registered.
func (g *Gossip) DataCentreOf(node string) (dataCentre string, known bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	peer := g.peers[node]
	if peer == nil {
		return "", false
	}
	return peer.DataCentre, true
}

// Connected returns the names of the live daemons that are not cut off from the endpoints, sorted.
// cutOff states whether this daemon is.
func (g *Gossip) Connected(now time.Time, cutOff bool) []string {
	var connected []string
	if !cutOff {
		connected = append(connected, g.Node)
	}
	g.eachLive(now, func(peer *Peer) {
		if !peer.cutOff {
			connected = append(connected, peer.Node)
		}
	})
	slices.Sort(connected)
	return connected
}

// Forwarders returns the other live daemons that reach the endpoints and take new work, and the
// number of daemons of this data centre that are cut off, this one included.
func (g *Gossip) Forwarders(now time.Time) (forwarders []Peer, cutOffHere int) {
	cutOffHere = 1
	g.eachLive(now, func(peer *Peer) {
		switch {
		case peer.cutOff && peer.DataCentre == g.DataCentre:
			cutOffHere++
		case !peer.cutOff && !peer.draining:
			forwarders = append(forwarders, *peer)
		}
	})
	return forwarders, cutOffHere
}

// Planners returns the names of the daemons that plan groups, one of each data centre that has a
// live daemon with access to the store and to the endpoints, sorted. The reader of a data centre
// plans unless it is cut off from the endpoints.
func (g *Gossip) Planners(now time.Time, reachesStore, cutOff bool) []string {
	candidates := candidatesByDataCentre{}
	g.eachLive(now, func(peer *Peer) {
		if peer.reachesStore && !peer.draining && !peer.cutOff {
			candidates.add(*peer)
		}
	})
	if reachesStore && !cutOff {
		candidates.add(g.self())
	}
	var planners []string
	for _, planner := range candidates.choose() {
		planners = append(planners, planner.Node)
	}
	slices.Sort(planners)
	return planners
}

// Reader returns the name and the address of the daemon that reads the store for this
// data centre. reachesStore states whether this daemon can reach the store. The name is
// this daemon's own if it is the reader, and empty if no daemon reaches the store.
func (g *Gossip) Reader(now time.Time, reachesStore bool) (name, address string) {
	reader := g.readers(now, reachesStore)[g.DataCentre]
	return reader.Node, reader.Address
}

// ExpectedReader returns the name and the address of the daemon that reads the store for this data
// centre if all registered daemons are alive and reach it. It needs no message of any of them, so
// that daemons that start together agree at once.
func (g *Gossip) ExpectedReader() (name, address string) {
	reader := g.expectedReaders()[g.DataCentre]
	return reader.Node, reader.Address
}

// ExpectedReaders returns the names of the daemons that read the store for their data centres
// under the same assumption, sorted.
func (g *Gossip) ExpectedReaders() []string {
	var names []string
	for _, reader := range g.expectedReaders() {
		names = append(names, reader.Node)
	}
	slices.Sort(names)
	return names
}

func (g *Gossip) expectedReaders() map[string]Peer {
	g.mu.Lock()
	defer g.mu.Unlock()
	candidates := candidatesByDataCentre{}
	for _, peer := range g.peers {
		candidates.add(*peer)
	}
	candidates.add(g.self())
	return candidates.choose()
}

// readers returns the reader of each data centre that has a live daemon with access
// to the store.
func (g *Gossip) readers(now time.Time, reachesStore bool) map[string]Peer {
	candidates := candidatesByDataCentre{}
	g.eachLive(now, func(peer *Peer) {
		if peer.reachesStore && !peer.draining {
			candidates.add(*peer)
		}
	})
	if reachesStore {
		candidates.add(g.self())
	}
	return candidates.choose()
}

// Hubs returns the names of the daemons that aggregate and distribute the state of a
// data centre.
func (g *Gossip) Hubs(dataCentre string, now time.Time) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.hubs(dataCentre, now)
}

// Dispatcher returns the name and the address of the daemon that chooses targets for those of this
// data centre, empty if there is none, and whether this daemon acts as it. It is the first of the
// hubs, which have the newest state, that is not cut off from the endpoints. cutOff states whether this
// daemon is.
func (g *Gossip) Dispatcher(now time.Time, cutOff bool) (name, address string, acting bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.usesHubs() {
		return "", "", false
	}
	for _, hub := range g.hubs(g.DataCentre, now) {
		if hub == g.Node {
			if cutOff {
				continue
			}
			return hub, g.Address, g.isHub
		}
		if peer := g.peers[hub]; peer != nil && !peer.cutOff {
			return hub, peer.Address, false
		}
	}
	return "", "", false
}

// Reported returns the load that the other daemons have at each target, as Loads does, and when the
// latest message of each daemon of this data centre that it contains was received.
func (g *Gossip) Reported(now time.Time) (loads map[uint32]Load, receivedAt map[string]time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var sum Digest
	g.eachDigestLocked(now, func(digest *Digest) {
		for key, load := range digest.Loads {
			sum.addLoad(key, load)
		}
	})
	receivedAt = map[string]time.Time{}
	for _, peer := range g.peers {
		if peer.DataCentre == g.DataCentre {
			receivedAt[peer.Node] = peer.lastReceived
		}
	}
	return sum.Loads, receivedAt
}

// RandomStorePeer returns the address of one of the other live daemons that reach the store,
// selected by a random number in [0, 1). It returns an empty string if there is none.
func (g *Gossip) RandomStorePeer(now time.Time, random float64) string {
	var addresses []string
	g.eachLive(now, func(peer *Peer) {
		if peer.reachesStore {
			addresses = append(addresses, peer.Address)
		}
	})
	if len(addresses) == 0 {
		return ""
	}
	return addresses[int(random*float64(len(addresses)))]
}

// Loads returns the load that the other daemons have at each target, by HashKey of the
// target.
func (g *Gossip) Loads(now time.Time) map[uint32]Load {
	var sum Digest
	g.eachDigest(now, func(digest *Digest) {
		for key, load := range digest.Loads {
			sum.addLoad(key, load)
		}
	})
	return sum.Loads
}

// eachDigest calls f with the state of the other daemons: the digest of each data
// centre that has a fresh one, and the direct messages of the daemons in all other
// data centres. A hub uses the direct messages of its own data centre, not the digest.
func (g *Gossip) eachDigest(now time.Time, f func(digest *Digest)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.eachDigestLocked(now, f)
}

// eachDigestLocked is eachDigest for a caller that holds mu.
func (g *Gossip) eachDigestLocked(now time.Time, f func(digest *Digest)) {
	byDigest := map[string]bool{}
	for dataCentre, received := range g.digests {
		if g.usesHubs() && g.hasFreshDigest(dataCentre, now) && (dataCentre != g.DataCentre || !g.isHub) {
			byDigest[dataCentre] = true
			f(&received.Digest)
		}
	}
	for _, peer := range g.peers {
		if byDigest[peer.DataCentre] || !g.isLive(peer, now) {
			continue
		}
		var direct Digest
		direct.add(peer.message, 0)
		f(&direct)
	}
}

// eachLive calls f with each live peer.
func (g *Gossip) eachLive(now time.Time, f func(peer *Peer)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, peer := range g.peers {
		if g.isLive(peer, now) {
			f(peer)
		}
	}
}
