package gossip

import "slices"

// dutyShare is the share of the largest CPU share of a data centre from which a daemon takes
// duties for others. What a reader or a hub sends grows with its data centre, and a VM with a
// quarter of a core beside others with most of one would be late with it.
const dutyShare = 0.5

// strongest returns the daemons that may take duties for others.
func strongest(peers []Peer) []Peer {
	most := 0.0
	for _, peer := range peers {
		most = max(most, peer.CPUShare)
	}
	return slices.DeleteFunc(peers, func(peer Peer) bool { return peer.CPUShare < dutyShare*most })
}

// names returns the names of daemons, sorted.
func names(peers []Peer) []string {
	var found []string
	for _, peer := range peers {
		found = append(found, peer.Node)
	}
	slices.Sort(found)
	return found
}

// self returns this daemon in the form of a peer.
func (g *Gossip) self() Peer {
	return Peer{Node: g.Node, Address: g.Address, DataCentre: g.DataCentre, Incarnation: g.Incarnation, CPUShare: g.CPUShare}
}
