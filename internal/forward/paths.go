package forward

import (
	"context"

	"github.com/plantainmux/plantainmux/internal/locality"
)

// Paths chooses the daemons to which exchanges are forwarded.
type Paths interface {
	// Pick returns a daemon that reaches the endpoints, to which there is a link, and to which the body
	// of a request may be passed on, and false if there is none. allowed are the regions in which
	// the request may be handled.
	Pick(ctx context.Context, allowed *locality.Allowed) (via string, ok bool)
	// Release ends the use of a daemon that Pick returned. failed states that the way through it
	// failed.
	Release(via string, failed bool)
	// Any reports whether there is a daemon that reaches the endpoints and to which the body of such
	// a request may be passed on.
	Any(allowed *locality.Allowed) bool
}
