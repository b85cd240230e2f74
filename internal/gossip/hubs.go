package gossip

import (
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/plantainmux/plantainmux/internal/rendezvous"
)

// hubKey is the rendezvous hashing key that selects the hubs of a data centre.
const hubKey = "hub"

const (
	maxDirectPeers       = 16                   // peers; with more, sendsPerS would make direct datagrams to each peer too infrequent
	hubsPerDataCentre    = 2                    // two, so that the failure of one has no effect
	hubIntervalPerMember = 3 * time.Millisecond // added to a hub's send interval for each daemon, which bounds its sending rate
	// In units of the hub interval:
	hubWarmUp     = 3 // time for all daemons of a data centre to send their state to a new hub
	messageMaxAge = 4 // age up to which a hub uses the message of a daemon
	digestMaxAge  = 6 // age up to which a digest is used
	hubPathHops   = 3 // daemon to hub, hub to hub of another data centre, hub to daemon

	directGrace = 500 * time.Millisecond // added to the interval of direct datagrams for the timeout of a peer that no fresh digest covers
)

// usesHubs reports whether the fleet is large enough to distribute state through hubs:
// every daemon sends its state to the hubs of its data centre, which send digests to
// their daemons and to the hubs of other data centres. The traffic of a daemon that is
// not a hub then does not grow with the fleet, and a hub sends less often in a large
// data centre. The daemons also send datagrams to each other directly at a low rate,
// so that they can agree on the hubs and detect the failure of a hub.
func (g *Gossip) usesHubs() bool { return len(g.peers) > maxDirectPeers }

// computeHubInterval returns the time between two datagrams from a daemon to a hub, and
// from a hub to a daemon.
func (g *Gossip) computeHubInterval() time.Duration {
	members := 0
	for _, peer := range g.peers {
		if peer.DataCentre == g.DataCentre {
			members++
		}
	}
	return max(minInterval, time.Duration(members)*hubIntervalPerMember)
}

// Delay returns the maximum age of the state known about other daemons. It takes no
// lock because it is called for each request.
func (g *Gossip) Delay() time.Duration { return time.Duration(g.delay.Load()) }

// updateDelay updates the value that Delay returns.
func (g *Gossip) updateDelay() {
	delay := g.interval()
	if g.usesHubs() {
		delay = hubPathHops * g.hubInterval
	}
	g.delay.Store(int64(delay))
}

// hubDatagrams returns the datagrams that this daemon sends to hubs and, if it is a hub,
// to its daemons and to the hubs of other data centres. own is this daemon's message.
func (g *Gossip) hubDatagrams(own Message, now time.Time) []datagram {
	if now.Sub(g.lastHubSend) < g.hubInterval-minInterval/4 {
		return nil
	}
	g.lastHubSend = now
	g.hubInterval = g.computeHubInterval()
	hubs := g.hubs(g.DataCentre, now)
	g.updateHubs(hubs, now)
	if !g.isHub {
		return datagramsTo(g.peersByName(hubs), nil)
	}
	otherDigests := g.otherDigests(now)
	var datagrams []datagram
	for _, peer := range g.peers {
		if peer.DataCentre == g.DataCentre {
			digest := g.digestFor(peer, own, now).encode(0)
			datagrams = append(datagrams, datagram{to: peer, digests: append([]cbor.RawMessage{digest}, otherDigests...)})
		}
	}
	ownDigest := []cbor.RawMessage{g.digestFor(nil, own, now).encode(0)}
	for dataCentre := range g.otherDataCentres() {
		datagrams = append(datagrams, datagramsTo(g.peersByName(g.hubs(dataCentre, now)), ownDigest)...)
	}
	return datagrams
}

func datagramsTo(peers []*Peer, digests []cbor.RawMessage) []datagram {
	var datagrams []datagram
	for _, peer := range peers {
		datagrams = append(datagrams, datagram{to: peer, digests: digests})
	}
	return datagrams
}

// updateHubs records the current hubs of this data centre. If this daemon is one of
// them, it acts as a hub once all daemons have had time to send it their state.
func (g *Gossip) updateHubs(hubs []string, now time.Time) {
	if g.hasFreshDigest(g.DataCentre, now) {
		g.lastHubs = hubs
	}
	if !slices.Contains(hubs, g.Node) {
		g.isHub, g.chosenAsHubAt = false, time.Time{}
		return
	}
	if g.chosenAsHubAt.IsZero() {
		g.chosenAsHubAt = now
	}
	g.isHub = now.Sub(g.chosenAsHubAt) >= hubWarmUp*g.hubInterval
}

// hubs returns the names of the hubs of a data centre. Daemons with the same set of live
// peers choose the same hubs. When all hubs of this data centre have stopped sending
// digests, other daemons replace them.
func (g *Gossip) hubs(dataCentre string, now time.Time) []string {
	var candidates []Peer
	own := dataCentre == g.DataCentre
	if own {
		candidates = append(candidates, g.self())
	}
	hubsLost := own && !g.isHub && !g.hasFreshDigest(dataCentre, now)
	for _, peer := range g.peers {
		if peer.DataCentre != dataCentre || peer.draining || !g.isLive(peer, now) || hubsLost && slices.Contains(g.lastHubs, peer.Node) {
			continue
		}
		candidates = append(candidates, *peer)
	}
	return rendezvous.Choose(hubKey, names(strongest(candidates)), hubsPerDataCentre)
}

func (g *Gossip) peersByName(names []string) []*Peer {
	var peers []*Peer
	for _, name := range names {
		if peer := g.peers[name]; peer != nil {
			peers = append(peers, peer)
		}
	}
	return peers
}

func (g *Gossip) otherDataCentres() map[string]bool {
	dataCentres := map[string]bool{}
	for _, peer := range g.peers {
		if peer.DataCentre != g.DataCentre {
			dataCentres[peer.DataCentre] = true
		}
	}
	return dataCentres
}

// digestFor aggregates the state of this hub and the daemons of its data centre, except
// the receiver, which has newer information about itself.
func (g *Gossip) digestFor(receiver *Peer, own Message, now time.Time) *Digest {
	digest := &Digest{DataCentre: g.DataCentre}
	digest.add(own, 0)
	digest.addMember(Member{Hash: HashKey(g.Node), Store: own.Store, Draining: own.Draining}, own.CutOff)
	for _, peer := range g.peers {
		age := now.Sub(peer.lastReceived)
		if peer == receiver || peer.DataCentre != g.DataCentre || g.standstills.Ran(peer.lastReceived, now) > messageMaxAge*g.hubInterval {
			continue
		}
		digest.add(peer.message, age)
		digest.addMember(Member{Hash: HashKey(peer.Node), AgeMS: int(age.Milliseconds()), Store: peer.reachesStore, Draining: peer.draining}, peer.cutOff)
	}
	return digest
}

// otherDigests returns the fresh digests of the other data centres, encoded.
func (g *Gossip) otherDigests(now time.Time) []cbor.RawMessage {
	var digests []cbor.RawMessage
	for dataCentre, lastSeen := range g.digests {
		if dataCentre != g.DataCentre && g.hasFreshDigest(dataCentre, now) {
			digests = append(digests, lastSeen.encode(now.Sub(lastSeen.madeAt)))
		}
	}
	return digests
}

// acceptDigests stores the digests of a datagram and returns those that are newer than
// the stored ones as messages.
func (g *Gossip) acceptDigests(encoded []cbor.RawMessage, now time.Time) []Message {
	var newer []Message
	for _, data := range encoded {
		var digest Digest
		if err := cbor.Unmarshal(data, &digest); err != nil {
			g.Logger.Warn("invalid gossip digest ignored", "error", err)
			continue
		}
		age := time.Duration(digest.AgeMS) * time.Millisecond
		if g.storeDigest(digest, now.Add(-age)) {
			newer = append(newer, digest.message(age))
		}
	}
	return newer
}

// storeDigest replaces the digest of a data centre and updates the peers that it lists.
// It returns false if the digest is not newer than the stored one.
func (g *Gossip) storeDigest(digest Digest, madeAt time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if previous := g.digests[digest.DataCentre]; previous != nil && !madeAt.After(previous.madeAt) {
		return false
	}
	g.digests[digest.DataCentre] = &receivedDigest{Digest: digest, madeAt: madeAt}
	for _, member := range digest.Members {
		peer := g.byHash[member.Hash]
		lastSeen := madeAt.Add(-time.Duration(member.AgeMS) * time.Millisecond)
		if peer == nil || !lastSeen.After(peer.lastSeen) {
			continue
		}
		peer.lastSeen, peer.reachesStore, peer.draining = lastSeen, member.Store, member.Draining
		peer.cutOff = slices.Contains(digest.CutOff, member.Hash)
	}
	return true
}

// learnsFromDigests reports whether a peer of another data centre gets this daemon's state from the
// hubs. The digest of its data centre being fresh here shows that the hubs of both reach each other.
func (g *Gossip) learnsFromDigests(peer *Peer, now time.Time) bool {
	return g.usesHubs() && peer.DataCentre != g.DataCentre && g.hasFreshDigest(peer.DataCentre, now) && g.hasFreshDigest(g.DataCentre, now)
}

// hasFreshDigest reports whether the newest digest of a data centre is recent enough to
// be used. Here and in isLive a time in which this process stood still does not count: what the others sent
// meanwhile waits unread, and a daemon that takes them for gone takes their duties and shares over.
func (g *Gossip) hasFreshDigest(dataCentre string, now time.Time) bool {
	lastSeen := g.digests[dataCentre]
	return lastSeen != nil && g.standstills.Ran(lastSeen.madeAt, now) < digestMaxAge*g.hubInterval
}

// isLive reports whether the last sign of life of a peer is within its timeout.
func (g *Gossip) isLive(peer *Peer, now time.Time) bool {
	limit := max(minLiveTimeout, liveIntervals*g.interval())
	switch {
	case g.usesHubs() && g.hasFreshDigest(peer.DataCentre, now):
		limit = max(minLiveTimeout, (digestMaxAge+1)*g.hubInterval)
	case g.usesHubs():
		limit = g.interval() + directGrace
	}
	return g.standstills.Ran(peer.lastSeen, now) < limit
}
