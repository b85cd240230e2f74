package daemon

import (
	"context"
	"net"

	"github.com/plantainmux/plantainmux/internal/delivery"
	"github.com/plantainmux/plantainmux/internal/endpoint"
	"github.com/plantainmux/plantainmux/internal/infra"
	"github.com/plantainmux/plantainmux/internal/outbound"
	"github.com/plantainmux/plantainmux/internal/settings"
)

// Adapters are the clients through which the daemon reaches external systems
// and its peers.
type Adapters struct {
	Log     infra.Log
	VMs     infra.VMList
	Engine  endpoint.Engine
	Service endpoint.Service

	Direct      outbound.Sender              // over this daemon's own connections to endpoints
	SendThrough func(sender outbound.Sender) // makes Engine and Service send what callers request with sender

	Delivery *delivery.Tracker // of the connections that this daemon opens
	Traffic  *Traffic

	PeerListener net.Listener // nil: listen on the configured address
	PeerDial     func(ctx context.Context, network, address string) (net.Conn, error)
}

// NewAdapters returns adapters that use the network.
func NewAdapters(s settings.Settings) Adapters {
	counters := &Traffic{}
	tracker := delivery.NewTracker()
	dial := (&net.Dialer{}).DialContext
	endpoints := tracker.Dial(delivery.Endpoints, dial)
	engine := endpoint.NewHTTPEngine().CountControlOn(&counters.Engines)
	engine.ConnectWith(endpoints, tracker.Dial(delivery.Workers, dial))
	service := endpoint.NewHTTPService()
	service.ConnectWith(endpoints)
	return Adapters{
		Log:     infra.NewHTTPLog(s.Platform.Log).ConnectWith(trackedDial(tracker, delivery.Store, &counters.Log)),
		VMs:     infra.NewHTTPVMList(s.Platform.VMs, s.DataCentre).ConnectWith(trackedDial(tracker, delivery.Store, &counters.VMs)),
		Engine:  engine,
		Service: service,
		Direct:  &outbound.HTTPSender{Pooled: engine.Transport(), Fresh: service.Transport()},
		SendThrough: func(sender outbound.Sender) {
			engine.SendThrough(sender)
			service.SendThrough(sender)
		},
		Delivery: tracker,
		Traffic:  counters,
		PeerDial: trackedDial(tracker, delivery.Daemons, &counters.Peers).Within(peerDialTimeout),
	}
}
