package relay

import (
	"github.com/plantainmux/plantainmux/internal/endpoint"
	"github.com/plantainmux/plantainmux/internal/metric"
)

// noFault marks the frame that is due.
const noFault metric.FrameFault = ""

// sequence decides which frames belong to an attempt and in which order.
type sequence struct {
	attempt string
	next    int // index of the frame that is due
}

// check returns what is wrong with a frame.
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
