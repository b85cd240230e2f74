package peer

import (
	"fmt"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// UnreachableError says that a call was not sent.
type UnreachableError struct {
	Daemon     fleet.DaemonID
	DataCentre fleet.DataCentre
}

// Error implements error.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("no link to daemon %q of data centre %q", e.Daemon, e.DataCentre)
}

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

// RemoteError is the failure of a handler on another daemon.
type RemoteError struct {
	Daemon  fleet.DaemonID
	Message string
}

// Error implements error.
func (e *RemoteError) Error() string {
	return fmt.Sprintf("daemon %q: %s", e.Daemon, e.Message)
}

// UnknownMethodError says that a daemon has no handler of a method.
type UnknownMethodError struct {
	Method Method
}

// Error implements error.
func (e *UnknownMethodError) Error() string {
	return fmt.Sprintf("unknown method %q", e.Method)
}
