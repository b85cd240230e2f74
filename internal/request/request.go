// Package request holds the request of a caller after it was authenticated and
// checked.
package request

import (
	"encoding/json"
	"time"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// Request is one request for a model's answer.
type Request struct {
	ID          string
	Team        fleet.TeamName
	Priority    int
	Model       fleet.ModelName
	Adapter     string
	Body        json.RawMessage
	MaxTokens   int
	Fingerprint uint64   // hash of model, adapter and body
	Prefix      uint64   // hash of the beginning of the body
	Blocks      []uint64 // hashes of the blocks of the prompt
	Deadline    time.Time
	Forwarded   bool // came from a daemon of another data centre
}
