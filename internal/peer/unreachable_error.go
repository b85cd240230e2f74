package peer

import (
	"fmt"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// UnreachableError reports that a call was not sent, or is known not to have
// run.
type UnreachableError struct {
	Daemon     fleet.DaemonID
	DataCentre fleet.DataCentre
	Err        error // may be nil
}

// Error implements error.
func (e *UnreachableError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("daemon %q of data centre %q not reached: %v", e.Daemon, e.DataCentre, e.Err)
	}
	return fmt.Sprintf("no link to daemon %q of data centre %q", e.Daemon, e.DataCentre)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Err }
