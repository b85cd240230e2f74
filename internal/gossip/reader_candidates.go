package gossip

import (
	"maps"
	"slices"

	"github.com/plantainmux/plantainmux/internal/rendezvous"
)

// candidatesByDataCentre holds the daemons that may read the store, by data centre and name.
type candidatesByDataCentre map[string]map[string]Peer

func (c candidatesByDataCentre) add(peer Peer) {
	if c[peer.DataCentre] == nil {
		c[peer.DataCentre] = map[string]Peer{}
	}
	c[peer.DataCentre][peer.Node] = peer
}

// choose returns the reader of each data centre.
func (c candidatesByDataCentre) choose() map[string]Peer {
	chosen := map[string]Peer{}
	for dataCentre, peers := range c {
		name := rendezvous.Choose(readerKey, names(strongest(slices.Collect(maps.Values(peers)))), 1)[0]
		chosen[dataCentre] = peers[name]
	}
	return chosen
}
