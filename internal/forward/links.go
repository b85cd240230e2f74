package forward

import (
	"context"
	"time"
)

// Links maintains links to daemons, on demand.
type Links interface {
	// Address returns the address at which a daemon accepts links, empty if it is not known.
	Address(daemon string) string
	// Connect maintains a link to a daemon at an address until release is called.
	Connect(daemon, address string) (release func())
	// Await waits until there is a link to a daemon and reports whether there is one in time.
	Await(ctx context.Context, daemon string, timeout time.Duration) bool
	// Idle reports whether nothing is in progress on the link to a daemon.
	Idle(daemon string) bool
}
