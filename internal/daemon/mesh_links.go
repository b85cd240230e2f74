package daemon

import (
	"context"
	"time"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// meshLinks is the links of the mesh, which exist all the time. It implements forward.Links.
type meshLinks struct{ daemon *Daemon }

// Address implements forward.Links.
func (m *meshLinks) Address(string) string { return "" }

// Connect implements forward.Links.
func (m *meshLinks) Connect(string, string) func() { return func() {} }

// Await implements forward.Links.
func (m *meshLinks) Await(ctx context.Context, daemon string, timeout time.Duration) bool {
	return m.daemon.mesh.AwaitLink(ctx, fleet.DaemonID(daemon), timeout)
}

// Idle implements forward.Links.
func (m *meshLinks) Idle(daemon string) bool {
	return m.daemon.mesh.LinkIdle(fleet.DaemonID(daemon))
}
