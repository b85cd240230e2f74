package peer

import "github.com/plantainmux/plantainmux/internal/fleet"

// failureCode says how a call failed on the other side.
type failureCode uint8

// Codes of failures.
const (
	failureHandler       failureCode = iota // the handler returned an error
	failureUnknownMethod                    // no handler: not run
	failureBusy                             // no room for the call: not run
	failureUnreachable                      // a relay has no link to the data centre: not run
	failureBroken                           // a relay lost its link during the call
)

// failureOf turns a failure frame into the caller's error.
func failureOf(from fleet.DaemonID, f frame) error {
	switch f.Failure {
	case failureUnknownMethod:
		return &UnknownMethodError{Method: Method(f.Message)}
	case failureBusy:
		return &UnreachableError{Daemon: from, Err: &BusyError{}}
	case failureUnreachable:
		return &UnreachableError{Daemon: from, DataCentre: fleet.DataCentre(f.Message)}
	case failureBroken:
		return &BrokenError{Daemon: from, Err: &RemoteError{Daemon: from, Message: f.Message}}
	default:
		return &RemoteError{Daemon: from, Message: f.Message}
	}
}
