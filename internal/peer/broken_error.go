package peer

import (
	"fmt"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// BrokenError reports that a link failed after a call was sent. Whether the
// call ran is unknown.
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
