package gossip

import (
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/plantainmux/plantainmux/internal/rendezvous"
)

// hubKey is the key by which the hubs of a data centre are chosen.
const hubKey = "hub"

const (
	starFrom    = 16                   // peers: more than that cannot all be told at the shortest interval
	hubsPerZone = 2                    // so that one may be lost unnoticed
	perMember   = 3 * time.Millisecond // of a hub's interval, which bounds what it sends in a second
	// Times in intervals of the star:
	hubGrace    = 3 // after which all of a data centre have told a new hub
	toldFresh   = 4 // for which what a daemon told a hub counts
	digestFresh = 6 // for which a digest counts
	starHops    = 3 // to the hub, to the hub of another data centre, to its daemons

	directGrace = 500 * time.Millisecond // on the interval of direct datagrams, after which a peer counts as gone where no digest tells of it
)

// star reports whether what the daemons tell goes by way of hubs: every daemon
// tells the hubs of its data centre, and those tell the others. What a daemon
// sends and receives then does not grow with their number, hubs aside: those of a
// large data centre tell it less often. The daemons also tell each other directly,
// seldom, so that hubs can be agreed on and be lost.
func (g *Gossip) star() bool { return len(g.peers) > starFrom }

// starInterval is the time between two datagrams of a daemon to a hub, and of a
// hub to its daemons.
func (g *Gossip) starInterval() time.Duration {
	members := 0
	for _, peer := range g.peers {
		if peer.Zone == g.Zone {
			members++
		}
	}
	return max(minInterval, time.Duration(members)*perMember)
}

// Delay returns how old what is told of other daemons may be. It takes no lock: each
// request asks.
func (g *Gossip) Delay() time.Duration { return time.Duration(g.delay.Load()) }

// noteDelay keeps what Delay returns.
func (g *Gossip) noteDelay() {
	delay := g.interval()
	if g.star() {
		delay = starHops * g.unit
	}
	g.delay.Store(int64(delay))
}

// starParcels returns what goes to and from the hubs. own is what this daemon
// tells.
func (g *Gossip) starParcels(own Message, now time.Time) []parcel {
	if now.Sub(g.starSent) < g.unit-minInterval/4 {
		return nil
	}
	g.starSent = now
	g.unit = g.starInterval()
	hubs := g.hubs(g.Zone, now)
	g.noteHubs(hubs, now)
	if !g.hub {
		return toAll(g.peersOf(hubs), nil)
	}
	others := g.otherDigests(now)
	var parcels []parcel
	for _, peer := range g.peers {
		if peer.Zone == g.Zone {
			digest := g.digestFor(peer, own, now).encode(0)
			parcels = append(parcels, parcel{to: peer, zones: append([]cbor.RawMessage{digest}, others...)})
		}
	}
	whole := []cbor.RawMessage{g.digestFor(nil, own, now).encode(0)}
	for zone := range g.otherZones() {
		parcels = append(parcels, toAll(g.peersOf(g.hubs(zone, now)), whole)...)
	}
	return parcels
}

func toAll(peers []*Peer, zones []cbor.RawMessage) []parcel {
	var parcels []parcel
	for _, peer := range peers {
		parcels = append(parcels, parcel{to: peer, zones: zones})
	}
	return parcels
}

// noteHubs takes note of the hubs of the own data centre. This daemon acts as one
// once all have had time to tell it what they have in progress.
func (g *Gossip) noteHubs(hubs []string, now time.Time) {
	if g.fresh(g.Zone, now) {
		g.lastHubs = hubs
	}
	if !slices.Contains(hubs, g.Node) {
		g.hub, g.hubSince = false, time.Time{}
		return
	}
	if g.hubSince.IsZero() {
		g.hubSince = now
	}
	g.hub = now.Sub(g.hubSince) >= hubGrace*g.unit
}

// hubs returns the names of the hubs of a data centre. All that hear of the same
// daemons choose the same ones. When the hubs of the own data centre have fallen
// silent together, others take their place.
func (g *Gossip) hubs(zone string, now time.Time) []string {
	var names []string
	own := zone == g.Zone
	if own {
		names = append(names, g.Node)
	}
	lost := own && !g.hub && !g.fresh(zone, now)
	for _, peer := range g.peers {
		if peer.Zone != zone || peer.draining || !g.lives(peer, now) || lost && slices.Contains(g.lastHubs, peer.Node) {
			continue
		}
		names = append(names, peer.Node)
	}
	return rendezvous.Choose(hubKey, names, hubsPerZone)
}

func (g *Gossip) peersOf(names []string) []*Peer {
	var peers []*Peer
	for _, name := range names {
		if peer := g.peers[name]; peer != nil {
			peers = append(peers, peer)
		}
	}
	return peers
}

func (g *Gossip) otherZones() map[string]bool {
	zones := map[string]bool{}
	for _, peer := range g.peers {
		if peer.Zone != g.Zone {
			zones[peer.Zone] = true
		}
	}
	return zones
}

// digestFor adds up what this hub and the daemons of its data centre tell, the
// receiver aside: it knows its own part better.
func (g *Gossip) digestFor(receiver *Peer, own Message, now time.Time) *Digest {
	digest := &Digest{Zone: g.Zone}
	digest.add(own, 0)
	digest.Members = append(digest.Members, Member{Hash: HashKey(g.Node), Store: own.Store, Draining: own.Draining})
	for _, peer := range g.peers {
		age := now.Sub(peer.told)
		if peer == receiver || peer.Zone != g.Zone || age > toldFresh*g.unit {
			continue
		}
		digest.add(peer.message, age)
		digest.Members = append(digest.Members, Member{
			Hash: HashKey(peer.Node), AgeMS: int(age.Milliseconds()), Store: peer.store, Draining: peer.draining,
		})
	}
	return digest
}

// otherDigests returns the digests of the other data centres that are fresh.
func (g *Gossip) otherDigests(now time.Time) []cbor.RawMessage {
	var digests []cbor.RawMessage
	for zone, heard := range g.zones {
		if zone != g.Zone && g.fresh(zone, now) {
			digests = append(digests, heard.encode(now.Sub(heard.madeAt)))
		}
	}
	return digests
}

// takeZones takes the digests of a datagram and returns those that are news.
func (g *Gossip) takeZones(encoded []cbor.RawMessage, now time.Time) []Message {
	var news []Message
	for _, data := range encoded {
		var digest Digest
		if err := cbor.Unmarshal(data, &digest); err != nil {
			g.Logger.Warn("digest refused", "error", err)
			continue
		}
		age := time.Duration(digest.AgeMS) * time.Millisecond
		if g.takeDigest(digest, now.Add(-age)) {
			news = append(news, digest.message(age))
		}
	}
	return news
}

// takeDigest reports whether a digest is newer than the one before.
func (g *Gossip) takeDigest(digest Digest, madeAt time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if before := g.zones[digest.Zone]; before != nil && !madeAt.After(before.madeAt) {
		return false
	}
	g.zones[digest.Zone] = &heardDigest{Digest: digest, madeAt: madeAt}
	for _, member := range digest.Members {
		peer := g.byHash[member.Hash]
		heard := madeAt.Add(-time.Duration(member.AgeMS) * time.Millisecond)
		if peer == nil || !heard.After(peer.heard) {
			continue
		}
		peer.heard, peer.store, peer.draining = heard, member.Store, member.Draining
	}
	return true
}

// fresh reports whether the newest digest of a data centre counts.
func (g *Gossip) fresh(zone string, now time.Time) bool {
	heard := g.zones[zone]
	return heard != nil && now.Sub(heard.madeAt) < digestFresh*g.unit
}

// lives reports whether a peer was heard lately enough.
func (g *Gossip) lives(peer *Peer, now time.Time) bool {
	limit := max(minLive, liveInterval*g.interval())
	switch {
	case g.star() && g.fresh(peer.Zone, now):
		limit = max(minLive, (digestFresh+1)*g.unit)
	case g.star():
		limit = g.interval() + directGrace
	}
	return now.Sub(peer.heard) < limit
}
