// Package retry decides whether a failed attempt may be made again. It does no
// I/O: time and randomness are arguments.
package retry

import (
	"errors"

	"github.com/plantainmux/plantainmux/internal/endpoint"
)

// Reason is the cause of an attempt's failure.
type Reason string

// Reasons for a retry.
const (
	Unreachable Reason = "unreachable" // no byte reached the endpoint
	NotRun      Reason = "not_run"     // the endpoint proved that it did not run the request
	Broken      Reason = "broken"      // the stream broke and could not be resumed
	Died        Reason = "died"        // the endpoint's process ended
	Stalled     Reason = "stalled"     // no frame arrived within the time limit
	Recalled    Reason = "recalled"    // an equal request crashed another group
)

// Reasons lists every reason that has a counter.
var Reasons = []Reason{Unreachable, NotRun, Broken, Died, Stalled, Recalled}

// ReasonOf classifies the failure of an attempt.
func ReasonOf(err error) Reason {
	var typed reasoner
	if errors.As(err, &typed) {
		return typed.RetryReason()
	}
	// A broken exchange counts as Broken even if a later attempt to resume it failed
	// with another error, because the request may have run.
	var broken *endpoint.BrokenError
	if errors.As(err, &broken) {
		return Broken
	}
	var unreachable *endpoint.UnreachableError
	if errors.As(err, &unreachable) {
		return Unreachable
	}
	var notRun *endpoint.NotRunError
	if errors.As(err, &notRun) {
		return NotRun
	}
	return Broken
}

// MayHaveRun reports whether the request may have run in an attempt that failed for
// this reason.
func (r Reason) MayHaveRun() bool { return r != Unreachable && r != NotRun }
