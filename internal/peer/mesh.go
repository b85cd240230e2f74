package peer

import (
	"context"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// Mesh is what the other packages use of the peers. It is safe for concurrent
// use. Handlers are registered before the mesh runs.
type Mesh interface {
	// Self returns the own daemon.
	Self() fleet.DaemonID
	// Live returns the daemons of the own data centre that can be reached, sorted,
	// the own one included.
	Live() []fleet.DaemonID
	// WithLog returns those of Live that can read the platform's log, or all when
	// none can: the daemons that may be chosen for what needs the log.
	WithLog() []fleet.DaemonID
	// DataCentres returns the other data centres that can be reached, sorted.
	DataCentres() []fleet.DataCentre
	// Publish sends soft state to other daemons at once, and with it what waits.
	// It never blocks: a full queue drops its oldest message.
	Publish(topic Topic, scope Scope, body any)
	// PublishSoon does so with the next message of each link, at most
	// MaxWait later.
	PublishSoon(topic Topic, scope Scope, body any)
	// Subscribe registers the handler of a topic.
	Subscribe(topic Topic, handler Handler)
	// Call asks one daemon of the own data centre and decodes its answer into
	// reply. It fails with UnreachableError when nothing was sent, with
	// BrokenError when the answer was lost, and with RemoteError when the handler
	// failed.
	Call(ctx context.Context, to fleet.DaemonID, method Method, body, reply any) error
	// HandleCall registers the handler of a method.
	HandleCall(method Method, handler CallHandler)
	// Open asks some daemon of another data centre and returns its stream of
	// answers. It fails as Call does.
	Open(ctx context.Context, to fleet.DataCentre, method Method, body any) (Stream, error)
	// HandleOpen registers the handler of a streamed method.
	HandleOpen(method Method, handler OpenHandler)
}
