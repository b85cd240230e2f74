package relay

import (
	"context"
	"sync/atomic"
)

// States of a recall.
const (
	recallPending int32 = iota // no frame has arrived
	recallExpired              // a frame has arrived
	recallDone                 // the attempt is cancelled
)

// recall cancels an attempt that has not received a frame.
type recall struct {
	attempt string
	cancel  context.CancelCauseFunc
	state   atomic.Int32
}

// recordFirstFrame records the first frame. It returns false if the attempt was
// recalled.
func (r *recall) recordFirstFrame() bool {
	return r.state.CompareAndSwap(recallPending, recallExpired)
}

// trigger cancels the attempt unless a frame has arrived.
func (r *recall) trigger() {
	if r.state.CompareAndSwap(recallPending, recallDone) {
		r.cancel(r.failure())
	}
}

func (r *recall) failure() error { return &RecalledError{Attempt: r.attempt} }
