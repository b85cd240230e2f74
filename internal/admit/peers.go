package admit

import (
	"slices"
	"time"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

const (
	// peerSilent is the age of a usage after which a peer counts as silent.
	peerSilent = 3 * time.Second
	// peerForgotten is the age after which a silent peer's part is taken over,
	// as long as other peers are heard.
	peerForgotten = 10 * time.Second
)

// peers is what a daemon knows of the demand on the others. It is not safe for
// concurrent use.
type peers struct {
	self     fleet.DaemonID
	declared int // daemons of the data centre by the settings, the own one included
	heard    map[fleet.DaemonID]*heardUsage
}

func newPeers(self fleet.DaemonID, declared int) *peers {
	return &peers{self: self, declared: declared, heard: map[fleet.DaemonID]*heardUsage{}}
}

// learn takes in the whole usage of a peer.
func (p *peers) learn(from fleet.DaemonID, usage Usage, now time.Time) {
	held := map[demandKey]TeamUsage{}
	for _, model := range usage.Models {
		for _, t := range model.Teams {
			held[demandKey{model.Model, t.Team}] = t
		}
	}
	h := p.of(from)
	h.at, h.inStep, h.usage = now, now, held
}

// of returns what a peer told.
func (p *peers) of(daemon fleet.DaemonID) *heardUsage {
	h, ok := p.heard[daemon]
	if !ok {
		h = &heardUsage{usage: map[demandKey]TeamUsage{}}
		p.heard[daemon] = h
	}
	return h
}

// live returns the daemons that are heard, the own one included, sorted.
func (p *peers) live(now time.Time) []fleet.DaemonID {
	daemons := []fleet.DaemonID{p.self}
	for id, usage := range p.heard {
		if now.Sub(usage.at) <= peerSilent {
			daemons = append(daemons, id)
		}
	}
	slices.Sort(daemons)
	return daemons
}

// within returns the part of a capacity that the heard daemons may divide
// between them. A silent peer may still use its part: it is taken over only
// once it was silent for long and others are heard. A daemon that hears nobody
// keeps its even part, as each of the others does.
func (p *peers) within(capacity int, now time.Time) int {
	live := len(p.live(now))
	return max(capacity*live/p.known(live, now), min(capacity, 1))
}

// known returns the daemons that may use the capacity.
func (p *peers) known(live int, now time.Time) int {
	silent := 0
	for _, usage := range p.heard {
		if age := now.Sub(usage.at); age > peerSilent && (age <= peerForgotten || live == 1) {
			silent++
		}
	}
	if live == 1 {
		return max(live+silent, p.declared)
	}
	return live + silent
}

// isLone reports whether a daemon that is not alone hears nobody.
func (p *peers) isLone(now time.Time) bool {
	return len(p.live(now)) == 1 && p.known(1, now) > 1
}

// usage returns the requests of a team for a model on a daemon.
func (p *peers) usage(daemon fleet.DaemonID, key demandKey) TeamUsage {
	h, ok := p.heard[daemon]
	if !ok {
		return TeamUsage{}
	}
	return h.usage[key]
}
