package relay

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/view"
)

// NoObserver is an Observer that records nothing.
type NoObserver struct{}

// AttemptStarted implements Observer.
func (NoObserver) AttemptStarted(*view.Serving, time.Time) {}

// AnswerDone implements Observer.
func (NoObserver) AnswerDone(bool) {}

// MisroutedFrame implements Observer.
func (NoObserver) MisroutedFrame() {}

// NotRunContradicted implements Observer.
func (NoObserver) NotRunContradicted() {}
