package peer

import (
	"fmt"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// LinkError reports that a link failed after a call was sent. Whether the
// call ran is unknown.
type LinkError struct {
	Daemon fleet.DaemonID
	Err    error
}

// Error implements error.
func (e *LinkError) Error() string {
	return fmt.Sprintf("link to daemon %q broke: %v", e.Daemon, e.Err)
}

// Unwrap returns the cause.
func (e *LinkError) Unwrap() error { return e.Err }
