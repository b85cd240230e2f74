package exchange

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/placement"
)

// evidence is what a failed attempt shows about its target.
type evidence struct {
	target   *placement.Target
	err      error
	at       time.Time // when the attempt ended at its endpoint
	firstAt  time.Time // when it brought its first event; zero: none
	heldBack bool      // its answer was not read for a time, since the caller was slow
}
