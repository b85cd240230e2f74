package peer

import (
	"fmt"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// BrokenError says that a link broke after a call was sent: the call may have
// been served.
type BrokenError struct {
	Daemon fleet.DaemonID
	Err    error
}

// Error implements error.
func (e *BrokenError) Error() string {
	return fmt.Sprintf("link to daemon %q broke: %v", e.Daemon, e.Err)
}

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Err }
