package relay

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/view"
)

// Observer records the events of a relay. Its methods must not block.
type Observer interface {
	// AttemptStarted is called for each attempt on a group in the local data centre.
	AttemptStarted(serving *view.Serving, at time.Time)
	// Answered is called for each answer with outcome Done; ended is true if its end
	// marker was received.
	Answered(ended bool)
	// ForeignFrame is called for each dropped frame of another attempt.
	ForeignFrame()
	// RanNotRun is called for a refusal with outcome NotRun although an attempt may
	// have run.
	RanNotRun()
}
