package daemon

import (
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
