package peer

import (
	"context"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// Mesh is the interface to the peers for other packages. It is safe for
// concurrent use. Handlers must be registered before the mesh runs.
type Mesh interface {
	// Self returns the id of the local daemon.
	Self() fleet.DaemonID
	// Live returns the reachable daemons of the local data centre, the local
	// one included, sorted.
	Live() []fleet.DaemonID
	// LogReaders returns the daemons of Live that can read the platform's log and are not cut off
	// from the endpoints, or all of them if there is none. Tasks that need the log are assigned among
	// these.
	LogReaders() []fleet.DaemonID
	// EndpointReachers returns the daemons of Live that are not cut off from the endpoints, sorted;
	// none if all are.
	EndpointReachers() []fleet.DaemonID
	// DataCentres returns the other data centres that are reachable, sorted.
	DataCentres() []fleet.DataCentre
	// Publish sends soft state to other daemons at once, together with deferred
	// publications that are queued. It never blocks: a full queue drops its
	// oldest frame.
	Publish(topic Topic, scope Scope, body any)
	// PublishDeferred is like Publish, but defers the publication until the next
	// message of each link, for at most MaxPublishDelay.
	PublishDeferred(topic Topic, scope Scope, body any)
	// Subscribe registers the handler of a topic.
	Subscribe(topic Topic, handler Handler)
	// Call sends a call to one daemon of the local data centre and decodes its
	// answer into reply. It fails with UnreachableError if the call did not
	// run, with LinkError if the link failed or ctx ended before the answer
	// was received, with UnknownMethodError if the daemon has no handler, and
	// with RemoteError if the handler failed.
	Call(ctx context.Context, to fleet.DaemonID, method Method, body, reply any) error
	// HandleCall registers the handler of a method.
	HandleCall(method Method, handler CallHandler)
	// OpenStream sends a streamed call to any daemon of another data centre and
	// returns the stream of its answers. It fails with the same errors as Call.
	OpenStream(ctx context.Context, to fleet.DataCentre, method Method, body any) (Stream, error)
	// OpenStreamTo is like OpenStream, to one daemon of the local data centre.
	OpenStreamTo(ctx context.Context, to fleet.DaemonID, method Method, body any) (Stream, error)
	// HandleStream registers the handler of a streamed method.
	HandleStream(method Method, handler StreamHandler)
}
