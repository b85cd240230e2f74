// Package request holds the request of a caller after it was authenticated and
// checked.
package request

import (
	"encoding/json"
	"time"

	"github.com/plantainmux/plantainmux/internal/fleet"
)

// Request is a request for the output of a model.
type Request struct {
	ID          string
	Team        fleet.TeamName
	Priority    int
	Model       fleet.ModelName
	Adapter     string
	Body        json.RawMessage
	MaxTokens   int
	Fingerprint uint64   // hash of model, adapter and body
	PrefixHash  uint64   // hash of the start of the body; 0 if the body is too short
	BlockHashes []uint64 // hashes of the blocks of the prompt
	PartHashes  []uint64 // hashes of the parts of the prompt that other requests may share
	Deadline    time.Time
	Forwarded   bool // received from a daemon in another data centre
}
