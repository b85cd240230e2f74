package placement

import "github.com/plantainmux/plantainmux/internal/rhythm"

// Target is an endpoint that can take requests: an endpoint of a plain service, or
// the head of a serving group.
type Target struct {
	Key     string // key of its meter
	ID      string
	Address string
	Zone    string
	Slots   int // requests that it runs concurrently
	Pass    int // maximum of prompt tokens that one pass prefills; 0 if unknown
	Group   string
	Epoch   uint64
	Meter   *rhythm.Meter
}
