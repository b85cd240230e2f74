package placement

import "github.com/plantainmux/plantainmux/internal/rhythm"

// Target is an endpoint that may be given requests: one of a plain service, or
// the head of a group that serves.
type Target struct {
	Key     string // of its meter
	ID      string
	Address string
	Zone    string
	Slots   int // requests that run at once
	Pass    int // prompt tokens that one pass reads at most; 0: not known
	Group   string
	Epoch   uint64
	Meter   *rhythm.Meter
}
