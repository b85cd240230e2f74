package relay

import (
	"errors"
	"time"
)

// finish records the latency of a complete answer, or cancels a failed attempt at
// its endpoint.
func (a *attempt) finish(err error) {
	if err == nil {
		a.recordLatency()
		return
	}
	var died *DiedError
	if a.target.remote != "" {
		return // closing the stream makes the other data centre cancel the attempt
	}
	if a.sent && !errors.As(err, &died) {
		a.canceller.cancel(a.target.serving.LeaderAddress, a.frames.attempt)
	}
}

func (a *attempt) recordLatency() {
	now := time.Now()
	load := a.target.serving.Load
	load.RecordAnswer(now.Sub(a.started))
	if a.frames.next > 1 {
		load.RecordNextToken(now.Sub(a.firstAt) / time.Duration(a.frames.next-1))
	}
}
