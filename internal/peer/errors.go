package peer

import (
	"fmt"
	"time"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// UnreachableError says that a call was not sent, or proved not to have run.
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

// BusyError says that a daemon has no room for another call.
type BusyError struct{}

// Error implements error.
func (e *BusyError) Error() string { return "too many calls in progress" }

// QueueFullError says that the send queue of a link is full.
type QueueFullError struct{}

// Error implements error.
func (e *QueueFullError) Error() string { return "send queue full" }

// SilentError says that a link brought no frame for too long.
type SilentError struct {
	Silence time.Duration
}

// Error implements error.
func (e *SilentError) Error() string {
	return fmt.Sprintf("no frame for %s", e.Silence)
}

// ClosedError says that this daemon closed a link.
type ClosedError struct {
	Reason string
}

// Error implements error.
func (e *ClosedError) Error() string { return "closed: " + e.Reason }
