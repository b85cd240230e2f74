package daemon

import (
	"context"
	"net"

	"github.com/plantainmux/plantainmux/internal/endpoint"
	"github.com/plantainmux/plantainmux/internal/platform"
	"github.com/plantainmux/plantainmux/internal/settings"
)

// Adapters are the daemon's ways to the outside.
type Adapters struct {
	Log     platform.Log
	VMs     platform.VMList
	Engine  endpoint.Engine
	Service endpoint.Service

	PeerListener net.Listener // nil: listen on the address of the settings
	PeerDial     func(ctx context.Context, network, address string) (net.Conn, error)
}

// NewAdapters returns the adapters that speak over the network.
func NewAdapters(s settings.Settings) Adapters {
	return Adapters{
		Log:     platform.NewHTTPLog(s.Platform.Log),
		VMs:     platform.NewHTTPVMList(s.Platform.VMs),
		Engine:  endpoint.NewHTTPEngine(),
		Service: endpoint.NewHTTPService(),
	}
}
