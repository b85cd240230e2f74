package group

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// fenceSeen is a fencing number of a VM and when this daemon first saw it.
type fenceSeen struct {
	fence fleet.FencingNumber
	at    time.Time
}
