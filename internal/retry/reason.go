// Package retry decides whether a failed attempt may be made again. It does no
// I/O: time and randomness are arguments.
package retry

import (
	"errors"

	"github.com/plantainmux/plantainmux/internal/endpoint"
)

// Reason says why an attempt failed.
type Reason string

// Reasons of a retry.
const (
	Unreachable Reason = "unreachable" // no byte reached the endpoint
	NotRun      Reason = "not_run"     // the endpoint proved that it did not run
	Broken      Reason = "broken"      // the exchange broke and could not be resumed
	Died        Reason = "died"        // the endpoint's process was gone afterwards
	Stalled     Reason = "stalled"     // no frame came for too long
	Recalled    Reason = "recalled"    // an equal request crashed another group
)

// Reasons lists every reason, for the metrics page.
var Reasons = []Reason{Unreachable, NotRun, Broken, Died, Stalled, Recalled}

// ReasonOf classifies the failure of an attempt.
func ReasonOf(err error) Reason {
	var typed reasoner
	if errors.As(err, &typed) {
		return typed.RetryReason()
	}
	// A broken exchange stays broken, whatever a later try to resume it met.
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

// MayHaveRun reports whether an attempt that failed for a reason may have run.
func (r Reason) MayHaveRun() bool { return r != Unreachable && r != NotRun }
