package relay

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/view"
)

// NoObserver is an Observer that records nothing.
type NoObserver struct{}

// AttemptStarted implements Observer.
func (NoObserver) AttemptStarted(*view.Serving, time.Time) {}

// Answered implements Observer.
func (NoObserver) Answered(bool) {}

// ForeignFrame implements Observer.
func (NoObserver) ForeignFrame() {}

// RanNotRun implements Observer.
func (NoObserver) RanNotRun() {}
