package trace

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// Event is one thing that happens to a VM.
type Event struct {
	At   time.Duration // since the start of the measurement
	VM   fleet.VMID
	Kind EventKind
}
