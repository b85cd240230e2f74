package relay

import (
	"context"
	"sync/atomic"
)

// States of an attempt that may be recalled.
const (
	recallOpen     int32 = iota // no frame came yet
	recallTooLate               // a frame came
	recallHappened              // the attempt is given up
)

// recall takes an attempt back that has brought nothing yet.
type recall struct {
	attempt string
	giveUp  context.CancelCauseFunc
	state   atomic.Int32
}

// begin notes the first frame. It returns false when the attempt was recalled.
func (r *recall) begin() bool {
	return r.state.CompareAndSwap(recallOpen, recallTooLate)
}

// make gives the attempt up unless a frame came.
func (r *recall) make() {
	if r.state.CompareAndSwap(recallOpen, recallHappened) {
		r.giveUp(r.failure())
	}
}

func (r *recall) failure() error { return &RecalledError{Attempt: r.attempt} }
