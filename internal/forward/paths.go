package forward

import "context"

// Paths chooses the daemons to which exchanges are forwarded.
type Paths interface {
	// Pick returns a daemon that reaches the endpoints and to which there is a link, and false if
	// there is none.
	Pick(ctx context.Context) (via string, ok bool)
	// Release ends the use of a daemon that Pick returned. failed states that the way through it
	// failed.
	Release(via string, failed bool)
	// Any reports whether there is a daemon that reaches the endpoints.
	Any() bool
}
