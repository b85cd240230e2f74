package group

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// sighting is when a daemon first saw a VM under a fencing number.
type sighting struct {
	fence fleet.FencingNumber
	at    time.Time
}
