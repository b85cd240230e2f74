package testbed

import (
	"net"

	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/settings"
)

// StartDaemons starts one daemon for each data centre named, all of which know
// each other's peer addresses. adjust, which may be nil, changes their
// settings.
func (b *Bed) StartDaemons(adjust func(*settings.Settings), dataCentres ...fleet.DataCentre) []*Daemon {
	listeners := make([]net.Listener, 0, len(dataCentres))
	peers := make([]settings.Peer, 0, len(dataCentres))
	for _, dataCentre := range dataCentres {
		listener := listenPeers(Loopback)
		listeners = append(listeners, listener)
		peers = append(peers, settings.Peer{Address: listener.Addr().String(), DataCentre: dataCentre})
	}
	daemons := make([]*Daemon, 0, len(dataCentres))
	for i, dataCentre := range dataCentres {
		daemons = append(daemons, b.start(dataCentre, listeners[i], peers, adjust))
	}
	return daemons
}

// Replace starts a daemon anew under the peer address of one that has ended.
func (b *Bed) Replace(old *Daemon) *Daemon {
	<-old.done
	return b.start(old.DataCentre, listenPeers(old.PeerAddress()), old.peers, old.adjust)
}

// CutDataCentres cuts the daemons of two data centres off from each other.
func (b *Bed) CutDataCentres(one, other fleet.DataCentre) { b.wiring.setCut(one, other, true) }

// MendDataCentres undoes CutDataCentres.
func (b *Bed) MendDataCentres(one, other fleet.DataCentre) { b.wiring.setCut(one, other, false) }

func listenPeers(address string) net.Listener {
	listener, err := net.Listen("tcp", address)
	Expect(err).NotTo(HaveOccurred())
	return listener
}
