package daemon

import (
	"context"
	"net"

	"github.com/plantainmux/plantainmux/internal/endpoint"
	"github.com/plantainmux/plantainmux/internal/infra"
	"github.com/plantainmux/plantainmux/internal/settings"
)

// Adapters are the daemon's ways to the outside.
type Adapters struct {
	Log     infra.Log
	VMs     infra.VMList
	Engine  endpoint.Engine
	Service endpoint.Service

	Traffic *Traffic

	PeerListener net.Listener // nil: listen on the address of the settings
	PeerDial     func(ctx context.Context, network, address string) (net.Conn, error)
}

// NewAdapters returns the adapters that speak over the network.
func NewAdapters(s settings.Settings) Adapters {
	counted := &Traffic{}
	return Adapters{
		Log:      infra.NewHTTPLog(s.Platform.Log).CountOn(&counted.Log),
		VMs:      infra.NewHTTPVMList(s.Platform.VMs, s.DataCentre).CountOn(&counted.VMs),
		Engine:   endpoint.NewHTTPEngine().CountControlOn(&counted.Engines),
		Service:  endpoint.NewHTTPService(),
		Traffic:  counted,
		PeerDial: counted.dialPeer,
	}
}
