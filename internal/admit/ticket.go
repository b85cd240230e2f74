package admit

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// Ticket is one request before the admission.
type Ticket struct {
	Team      fleet.TeamName
	MaxTokens int // tokens asked for; 0 when unknown
	Deadline  time.Time
	NoWait    bool      // refuse the request rather than let it wait
	StartBy   time.Time // latest start that is worth it; set when it waits
	place     int       // in its queue
}
