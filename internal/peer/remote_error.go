package peer

import (
	"fmt"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// RemoteError is the failure of a handler on another daemon.
type RemoteError struct {
	Daemon  fleet.DaemonID
	Message string
}

// Error implements error.
func (e *RemoteError) Error() string {
	return fmt.Sprintf("daemon %q: %s", e.Daemon, e.Message)
}
