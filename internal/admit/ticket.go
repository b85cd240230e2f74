package admit

import (
	"time"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// Ticket describes one request to the admission control.
type Ticket struct {
	Team       fleet.TeamName
	MaxTokens  int // requested tokens; 0 if unknown
	Deadline   time.Time
	NoWait     bool      // refuse the request instead of queueing it
	Readmitted bool      // the request was admitted before and is exempt from the limits of the queue
	StartBy    time.Time // latest start that can meet the limits; set when the request is queued
	queueIndex int       // index in its queue, or notQueued
}
