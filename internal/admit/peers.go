package admit

import (
	"slices"
	"time"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

const (
	// peerTimeout is the age of the last update after which a peer is considered unresponsive.
	peerTimeout = 3 * time.Second
	// peerExpiry is the age after which the part of an unresponsive peer is taken over, provided
	// that other peers are live.
	peerExpiry = 10 * time.Second
)

// peers holds the usage of the other daemons. It is not safe for concurrent use.
type peers struct {
	self     fleet.DaemonID
	declared int // number of daemons of the data centre in the settings, including this one
	byDaemon map[fleet.DaemonID]*peerUsage
}

func newPeers(self fleet.DaemonID, declared int) *peers {
	return &peers{self: self, declared: declared, byDaemon: map[fleet.DaemonID]*peerUsage{}}
}

// setUsage replaces the usage of a peer by a snapshot.
func (p *peers) setUsage(from fleet.DaemonID, usage Usage, now time.Time) {
	demands := map[demandKey]TeamUsage{}
	for _, model := range usage.Models {
		for _, t := range model.Teams {
			demands[demandKey{model.Model, t.Team}] = t
		}
	}
	h := p.usageOf(from)
	h.receivedAt, h.inSyncAt, h.usage = now, now, demands
}

// usageOf returns the usage of a peer and creates it if necessary.
func (p *peers) usageOf(daemon fleet.DaemonID) *peerUsage {
	h, ok := p.byDaemon[daemon]
	if !ok {
		h = &peerUsage{usage: map[demandKey]TeamUsage{}}
		p.byDaemon[daemon] = h
	}
	return h
}

// live returns the live daemons, including this one, sorted.
func (p *peers) live(now time.Time) []fleet.DaemonID {
	daemons := []fleet.DaemonID{p.self}
	for id, usage := range p.byDaemon {
		if now.Sub(usage.receivedAt) <= peerTimeout {
			daemons = append(daemons, id)
		}
	}
	slices.Sort(daemons)
	return daemons
}

// usableCapacity returns the part of a capacity that the live daemons may divide between
// them. An unresponsive peer may still use its part, which is taken over only after peerExpiry
// and while other peers are live. A daemon without live peers is limited to its even
// part, because each of the others may be in the same state.
func (p *peers) usableCapacity(capacity int, now time.Time) int {
	live := len(p.live(now))
	return max(capacity*live/p.countKnown(live, now), min(capacity, 1))
}

// countKnown returns the number of daemons that may use the capacity.
func (p *peers) countKnown(live int, now time.Time) int {
	unresponsive := 0
	for _, usage := range p.byDaemon {
		if age := now.Sub(usage.receivedAt); age > peerTimeout && (age <= peerExpiry || live == 1) {
			unresponsive++
		}
	}
	if live == 1 {
		return max(live+unresponsive, p.declared)
	}
	return live + unresponsive
}

// isIsolated reports whether other daemons may exist but none of them is live.
func (p *peers) isIsolated(now time.Time) bool {
	return len(p.live(now)) == 1 && p.countKnown(1, now) > 1
}

// usage returns the requests of a team for a model on a daemon.
func (p *peers) usage(daemon fleet.DaemonID, key demandKey) TeamUsage {
	h, ok := p.byDaemon[daemon]
	if !ok {
		return TeamUsage{}
	}
	return h.usage[key]
}
