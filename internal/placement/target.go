package placement

import (
	"github.com/cespare/xxhash/v2"

	"github.com/plantainmux/plantainmux/internal/fleet"
	"github.com/plantainmux/plantainmux/internal/targetstats"
)

// Target is an endpoint that can take requests: an endpoint of a plain service, or
// the head of a serving group.
type Target struct {
	Key                     string // key of its meter
	ID                      string
	Incarnation             int64 // start time of the endpoint, Unix milliseconds
	Address                 string
	DataCentre              string
	Slots                   int     // requests that it runs concurrently
	MaxPrefillTokensPerPass int     // maximum of prompt tokens that one pass prefills; 0 if unknown
	MemoryTokens            int     // context tokens that its memory holds; 0: not known
	MeanPromptTokens        float64 // published mean length of a prompt
	MeanOutputTokens        float64 // published mean length of an answer
	Group                   string
	Epoch                   uint64
	Slowdown                float64 // of a group: greatest slowdown that its members report; 1: normal or not reported
	Meter                   *targetstats.Meter
	Hold                    *targetstats.Hold  // of the endpoint; nil: never held back
	Limit                   *targetstats.Limit // of the endpoint; nil: none
}

// CrashKey returns the number by which daemons tell each other which target crashed. It
// differs between the incarnations of an endpoint, and between the epochs of a group.
func (t *Target) CrashKey() fleet.FencingNumber {
	return fleet.FencingNumber(uint32(xxhash.Sum64String(t.Key)))
}
