package testbed

import (
	"net"

	. "github.com/onsi/gomega"

	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/settings"
)

// StartDaemons starts one daemon per element of dataCentres. Each has all of them
// as peers. adjust, which may be nil, changes their settings.
func (b *Bed) StartDaemons(adjust func(*settings.Settings), dataCentres ...fleet.DataCentre) []*Daemon {
	listeners := make([]net.Listener, 0, len(dataCentres))
	peers := make([]settings.Peer, 0, len(dataCentres))
	for _, dataCentre := range dataCentres {
		listener := listen(Loopback)
		listeners = append(listeners, listener)
		peers = append(peers, settings.Peer{Address: listener.Addr().String(), DataCentre: dataCentre})
	}
	daemons := make([]*Daemon, 0, len(dataCentres))
	for i, dataCentre := range dataCentres {
		daemons = append(daemons, b.start(dataCentre, listeners[i], peers, adjust))
	}
	return daemons
}

// Replace waits until a daemon has ended and starts a new one with its settings and
// its peer address.
func (b *Bed) Replace(old *Daemon) *Daemon {
	<-old.done
	return b.start(old.DataCentre, listen(old.PeerAddress()), old.peers, old.adjust)
}

// CutDataCentres creates a network partition between the daemons of two data
// centres.
func (b *Bed) CutDataCentres(one, other fleet.DataCentre) { b.network.setCut(one, other, true) }

// MendDataCentres heals the partition of CutDataCentres.
func (b *Bed) MendDataCentres(one, other fleet.DataCentre) { b.network.setCut(one, other, false) }

func listen(address string) net.Listener {
	listener, err := net.Listen("tcp", address)
	Expect(err).NotTo(HaveOccurred())
	return listener
}
