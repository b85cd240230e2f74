package daemon

import (
	"github.com/plantainmux/plantainmux/internal/peer"
	"github.com/plantainmux/plantainmux/internal/settings"
)

func (d *Daemon) buildMesh() error {
	addresses := make([]peer.Address, 0, len(d.settings.Peers))
	for _, p := range d.settings.Peers {
		addresses = append(addresses, peer.Address{HostPort: p.Address, DataCentre: p.DataCentre})
	}
	mesh, err := peer.NewNetwork(peer.Options{
		Self:       d.id,
		DataCentre: d.settings.DataCentre,
		Secret:     d.settings.PeerSecret,
		Addresses:  addresses,
		Dial:       d.adapters.PeerDial,
		ClientTLS:  d.tls.dial,
		Delivery:   d.adapters.Delivery,
		Heartbeat:  settings.Millis(d.settings.Timing.PeerHeartbeatMS),
		Logger:     d.logger,
		Metrics:    d.metrics,
	})
	if err != nil {
		return err
	}
	d.mesh = mesh
	return nil
}
