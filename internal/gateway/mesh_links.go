package gateway

import (
	"context"
	"time"

	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/peer"
)

// meshLinks establishes links to daemons that gossip has told of. It implements forward.Links.
type meshLinks struct{ gateway *Gateway }

// Address implements forward.Links.
func (m *meshLinks) Address(daemon string) string {
	if known := m.gateway.dispatcherAt.Load(); known != nil && known.name == daemon {
		return known.address
	}
	return (*m.gateway.addressOf.Load())[daemon]
}

// Connect implements forward.Links.
func (m *meshLinks) Connect(_, address string) func() {
	m.gateway.startMesh()
	return m.gateway.mesh.Connect(peer.Address{HostPort: address, DataCentre: meshDataCentre})
}

// Await implements forward.Links.
func (m *meshLinks) Await(ctx context.Context, daemon string, timeout time.Duration) bool {
	return m.gateway.mesh.AwaitLink(ctx, fleet.DaemonID(daemon), timeout)
}

// Idle implements forward.Links.
func (m *meshLinks) Idle(daemon string) bool {
	return m.gateway.mesh.LinkIdle(fleet.DaemonID(daemon))
}
