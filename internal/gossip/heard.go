package gossip

import (
	"maps"
	"slices"
	"time"

	"github.com/plantainmux/plantainmux/internal/rendezvous"
)

// Live returns the names of the daemons that are heard, this one included, in
// order.
func (g *Gossip) Live(now time.Time) []string {
	live := []string{g.Node}
	g.each(now, func(peer *Peer) { live = append(live, peer.Node) })
	slices.Sort(live)
	return live
}

// Reader returns the name and the address of the daemon of the own data centre
// that reads the store for the others. reach tells whether this one can. The name
// is this daemon's own if it is the one, and empty if none reaches the store.
func (g *Gossip) Reader(now time.Time, reach bool) (name, address string) {
	reader := g.readers(now, reach)[g.Zone]
	return reader.Node, reader.Address
}

// Readers returns the names of the daemons that read the store for their data
// centres, in order.
func (g *Gossip) Readers(now time.Time, reach bool) []string {
	var names []string
	for _, reader := range g.readers(now, reach) {
		names = append(names, reader.Node)
	}
	slices.Sort(names)
	return names
}

// readers returns the reader of each data centre of which a daemon is heard that
// reaches the store.
func (g *Gossip) readers(now time.Time, reach bool) map[string]Peer {
	able := map[string]map[string]Peer{}
	add := func(peer Peer) {
		if able[peer.Zone] == nil {
			able[peer.Zone] = map[string]Peer{}
		}
		able[peer.Zone][peer.Node] = peer
	}
	g.each(now, func(peer *Peer) {
		if peer.store && !peer.draining {
			add(*peer)
		}
	})
	if reach {
		add(Peer{Node: g.Node, Address: g.Address, Zone: g.Zone})
	}
	chosen := map[string]Peer{}
	for zone, peers := range able {
		name := rendezvous.Choose(readerKey, slices.Sorted(maps.Keys(peers)), 1)[0]
		chosen[zone] = peers[name]
	}
	return chosen
}

// Hubs returns the names of the daemons that tell the others of a data centre what
// all have in progress.
func (g *Gossip) Hubs(zone string, now time.Time) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.hubs(zone, now)
}

// AnyWriter returns the address of one of the other daemons that reach the store,
// by a random number of [0, 1). It is empty if none is heard.
func (g *Gossip) AnyWriter(now time.Time, random float64) string {
	var addresses []string
	g.each(now, func(peer *Peer) {
		if peer.store {
			addresses = append(addresses, peer.Address)
		}
	})
	if len(addresses) == 0 {
		return ""
	}
	return addresses[int(random*float64(len(addresses)))]
}

// Loads returns what is in progress through the other daemons.
func (g *Gossip) Loads(now time.Time) map[uint32]Load {
	var sum Digest
	g.eachTold(now, func(digest *Digest) {
		for key, load := range digest.Loads {
			sum.addLoad(key, load)
		}
	})
	return sum.Loads
}

// Crashes returns what the other daemons saw requests crash.
func (g *Gossip) Crashes(now time.Time) map[uint64]int {
	crashes := map[uint64]int{}
	g.eachTold(now, func(digest *Digest) {
		for fingerprint, count := range digest.Crashes {
			crashes[fingerprint] += count
		}
	})
	return crashes
}

// eachTold calls f with what is told of the other daemons: the digest of each
// data centre that has a fresh one, and what the daemons of the others told
// directly. A hub has heard those of its own data centre itself.
func (g *Gossip) eachTold(now time.Time, f func(told *Digest)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	byDigest := map[string]bool{}
	for zone, heard := range g.zones {
		if g.star() && g.fresh(zone, now) && (zone != g.Zone || !g.hub) {
			byDigest[zone] = true
			f(&heard.Digest)
		}
	}
	for _, peer := range g.peers {
		if byDigest[peer.Zone] || !g.lives(peer, now) {
			continue
		}
		var direct Digest
		direct.add(peer.message, 0)
		f(&direct)
	}
}

// each calls f with each peer that is heard.
func (g *Gossip) each(now time.Time, f func(peer *Peer)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, peer := range g.peers {
		if g.lives(peer, now) {
			f(peer)
		}
	}
}
