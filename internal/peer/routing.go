package peer

import (
	"slices"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// routing is an immutable snapshot of what can be reached and how.
type routing struct {
	live        []fleet.DaemonID // own data centre, sorted
	withLog     []fleet.DaemonID // those of live that can read the log, or all when none can
	local       []*link          // to daemons of the own data centre
	links       map[fleet.DaemonID]*link
	regional    map[fleet.DataCentre][]*link // to daemons of another data centre
	relays      map[fleet.DataCentre][]fleet.DaemonID
	dataCentres []fleet.DataCentre // others, sorted
}

// newRouting computes the snapshot from the links of a daemon.
func newRouting(self identity, own remoteState, links map[fleet.DaemonID]*link) *routing {
	r := &routing{
		links:    map[fleet.DaemonID]*link{},
		regional: map[fleet.DataCentre][]*link{},
		relays:   map[fleet.DataCentre][]fleet.DaemonID{},
	}
	for _, id := range sortedKeys(links) {
		r.add(self, links[id])
	}
	for dataCentre := range r.regional {
		r.relays[dataCentre] = append(r.relays[dataCentre], self.Daemon)
	}
	if !own.Leaving || len(r.live) == 0 {
		r.addLive(self.Daemon, own)
	}
	slices.Sort(r.live)
	slices.Sort(r.withLog)
	if len(r.withLog) == 0 {
		r.withLog = r.live
	}
	r.dataCentres = sortedKeys(r.relays)
	return r
}

func (r *routing) add(self identity, l *link) {
	state := l.state.Load()
	if l.remote.DataCentre != self.DataCentre {
		if !state.Leaving && !l.retiring.Load() {
			r.regional[l.remote.DataCentre] = append(r.regional[l.remote.DataCentre], l)
		}
		return
	}
	r.links[l.remote.Daemon] = l
	r.local = append(r.local, l)
	if state.Leaving {
		return
	}
	r.addLive(l.remote.Daemon, *state)
	for _, dataCentre := range state.DataCentres {
		r.relays[dataCentre] = append(r.relays[dataCentre], l.remote.Daemon)
	}
}

func (r *routing) addLive(daemon fleet.DaemonID, state remoteState) {
	r.live = append(r.live, daemon)
	if !state.LogAway {
		r.withLog = append(r.withLog, daemon)
	}
}

// link returns the link to a daemon of the own data centre.
func (r *routing) link(to fleet.DaemonID) (*link, bool) {
	l, ok := r.links[to]
	return l, ok
}

// direct returns the own links to another data centre.
func (r *routing) direct(to fleet.DataCentre) []*link {
	return r.regional[to]
}

// towards returns the links on which a call can go to another data centre, in
// the order to try them: direct ones first, each kind rotated by turn.
func (r *routing) towards(to fleet.DataCentre, turn int) []*link {
	found := rotated(r.regional[to], turn)
	var through []*link
	for _, relay := range r.relays[to] {
		if l, ok := r.links[relay]; ok {
			through = append(through, l)
		}
	}
	return append(found, rotated(through, turn)...)
}

func rotated(links []*link, turn int) []*link {
	result := make([]*link, 0, len(links))
	for i := range links {
		result = append(result, links[(i+turn)%len(links)])
	}
	return result
}
