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
	Returning bool      // it was admitted before: the bounds of the queue do not hold
	StartBy   time.Time // latest start that is worth it; set when it waits
	place     int       // in its queue
}
