package peer

import (
	"slices"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// routing is an immutable snapshot of the reachable daemons and data centres
// and the links to them.
type routing struct {
	live         []fleet.DaemonID // daemons of the local data centre, sorted
	reachers     []fleet.DaemonID // daemons of live that are not cut off from the endpoints; sorted
	logReaders   []fleet.DaemonID // daemons of reachers that can read the log, or all of live if there is none; sorted
	local        []*link          // to daemons of the local data centre
	links        map[fleet.DaemonID]*link
	byDataCentre map[fleet.DataCentre][]*link // direct links to other data centres
	relays       map[fleet.DataCentre][]fleet.DaemonID
	dataCentres  []fleet.DataCentre // other reachable data centres, sorted
}

// newRouting computes the snapshot from the links of a daemon.
func newRouting(self identity, own remoteState, links map[fleet.DaemonID]*link) *routing {
	r := &routing{
		links:        map[fleet.DaemonID]*link{},
		byDataCentre: map[fleet.DataCentre][]*link{},
		relays:       map[fleet.DataCentre][]fleet.DaemonID{},
	}
	for _, id := range sortedKeys(links) {
		r.add(self, links[id])
	}
	for dataCentre := range r.byDataCentre {
		r.relays[dataCentre] = append(r.relays[dataCentre], self.Daemon)
	}
	if !own.Leaving || len(r.live) == 0 {
		r.addLive(self.Daemon, own)
	}
	slices.Sort(r.live)
	slices.Sort(r.reachers)
	slices.Sort(r.logReaders)
	if len(r.logReaders) == 0 {
		r.logReaders = r.live
	}
	r.dataCentres = sortedKeys(r.relays)
	return r
}

func (r *routing) add(self identity, l *link) {
	state := l.state.Load()
	if l.remote.DataCentre != self.DataCentre {
		if !state.Leaving && !l.retiring.Load() {
			r.byDataCentre[l.remote.DataCentre] = append(r.byDataCentre[l.remote.DataCentre], l)
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
	if state.CutOff {
		return
	}
	r.reachers = append(r.reachers, daemon)
	if !state.LogUnreachable {
		r.logReaders = append(r.logReaders, daemon)
	}
}

// localLink returns the link to a daemon of the local data centre.
func (r *routing) localLink(to fleet.DaemonID) (*link, bool) {
	l, ok := r.links[to]
	return l, ok
}

// directLinks returns the direct links to another data centre.
func (r *routing) directLinks(to fleet.DataCentre) []*link {
	return r.byDataCentre[to]
}

// linksTo returns the links over which a call can reach another data centre, in
// the order in which to try them: direct links before links to relays, each
// kind rotated for load balancing.
func (r *routing) linksTo(to fleet.DataCentre, rotation int) []*link {
	direct := rotated(r.byDataCentre[to], rotation)
	var viaRelays []*link
	for _, relay := range r.relays[to] {
		if l, ok := r.links[relay]; ok {
			viaRelays = append(viaRelays, l)
		}
	}
	return append(direct, rotated(viaRelays, rotation)...)
}

func rotated(links []*link, rotation int) []*link {
	result := make([]*link, 0, len(links))
	for i := range links {
		result = append(result, links[(i+rotation)%len(links)])
	}
	return result
}
