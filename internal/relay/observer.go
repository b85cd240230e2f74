package relay

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/view"
)

// Observer is told what a relay does, for the record. It must not block.
type Observer interface {
	// AttemptStarted is told of each attempt on a group of the own data centre.
	AttemptStarted(serving *view.Serving, at time.Time)
	// Answered is told of each answer called done, and whether its end marker came.
	Answered(ended bool)
	// ForeignFrame is told of each dropped frame of another attempt.
	ForeignFrame()
	// RanNotRun is told of a refusal as not run though an attempt may have run.
	RanNotRun()
}
