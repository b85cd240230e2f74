package relay

import (
	"github.com/plantainmux/plantainmux/internal/endpoint"
	"github.com/plantainmux/plantainmux/internal/metric"
)

// noFault is the result of check for the next expected frame.
const noFault metric.FrameFault = ""

// sequence verifies that frames belong to an attempt and arrive in order.
type sequence struct {
	attempt string
	next    int // index of the next expected frame
}

// check returns the fault of a frame, noFault if it is the next expected one.
func (s *sequence) check(frame endpoint.Frame) metric.FrameFault {
	switch {
	case frame.Attempt != s.attempt:
		return metric.OtherAttempt
	case frame.Index < s.next:
		return metric.Duplicate
	case frame.Index > s.next:
		return metric.Gap
	default:
		return noFault
	}
}
