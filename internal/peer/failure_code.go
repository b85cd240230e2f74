package peer

import "github.com/plantainmux/plantainmux/internal/fleet"

// failureCode is the cause of a failed call, as sent in a failure frame.
type failureCode uint8

// Codes of failures.
const (
	failureHandler       failureCode = iota // the handler returned an error
	failureUnknownMethod                    // no handler for the method; the call did not run
	failureBusy                             // limit of concurrent calls reached; the call did not run
	failureUnreachable                      // the relay has no link to the data centre; the call did not run
	failureBroken                           // the relay lost its link during the call
	failureLate                             // the call was read after the time for which it is valid; it did not run
)

// failureError converts a failure frame to the error returned to the caller.
func failureError(from fleet.DaemonID, f frame) error {
	switch f.Failure {
	case failureUnknownMethod:
		return &UnknownMethodError{Method: Method(f.Message)}
	case failureBusy:
		return &UnreachableError{Daemon: from, Err: &BusyError{}}
	case failureLate:
		return &UnreachableError{Daemon: from, Err: &LateError{}}
	case failureUnreachable:
		return &UnreachableError{Daemon: from, DataCentre: fleet.DataCentre(f.Message)}
	case failureBroken:
		return &LinkError{Daemon: from, Err: &RemoteError{Daemon: from, Message: f.Message}}
	default:
		return &RemoteError{Daemon: from, Message: f.Message}
	}
}
