package daemon

import (
	"context"
	"net"

	"github.com/plantainmux/plantainmux/internal/endpoint"
	"github.com/plantainmux/plantainmux/internal/infra"
	"github.com/plantainmux/plantainmux/internal/settings"
)

// Adapters are the clients through which the daemon reaches external systems
// and its peers.
type Adapters struct {
	Log     infra.Log
	VMs     infra.VMList
	Engine  endpoint.Engine
	Service endpoint.Service

	Traffic *Traffic

	PeerListener net.Listener // nil: listen on the configured address
	PeerDial     func(ctx context.Context, network, address string) (net.Conn, error)
}

// NewAdapters returns adapters that use the network.
func NewAdapters(s settings.Settings) Adapters {
	counters := &Traffic{}
	return Adapters{
		Log:      infra.NewHTTPLog(s.Platform.Log).CountOn(&counters.Log),
		VMs:      infra.NewHTTPVMList(s.Platform.VMs, s.DataCentre).CountOn(&counters.VMs),
		Engine:   endpoint.NewHTTPEngine().CountControlOn(&counters.Engines),
		Service:  endpoint.NewHTTPService(),
		Traffic:  counters,
		PeerDial: counters.dialPeer,
	}
}
