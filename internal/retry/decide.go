// Package retry decides whether a failed attempt may be made again.
package retry

import (
	"errors"

	"github.com/plantainmux/plantainmux/internal/endpoint"
)

// Reason says why an attempt failed.
type Reason string

// Reasons of a retry.
const (
	Unreachable Reason = "unreachable"
	NotRun      Reason = "not_run"
	Broken      Reason = "broken"
)

// Reasons lists every reason, for the metrics page.
var Reasons = []Reason{Unreachable, NotRun, Broken}

// ReasonOf classifies the failure of an attempt.
func ReasonOf(err error) Reason {
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
