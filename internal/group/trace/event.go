package trace

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// Event is one fault or state change of a VM.
type Event struct {
	At   time.Duration // since the start of the measurement
	VM   fleet.VMID
	Kind EventKind
}
