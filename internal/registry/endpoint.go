package registry

import (
	"slices"
	"time"
)

// Endpoint is the latest entry of one endpoint.
type Endpoint struct {
	ID       string
	Service  string
	Address  string // IP and port
	Zone     string
	Domain   string // of the fabric; empty for a plain service
	Slots    int    // requests that run at once
	Draining bool
	Born     int64      // Unix milliseconds of its start: another value is another life
	Group    Membership // zero: in no group
	Model    string     // the model of its last group in this life
	Staged   []string   // models that lie on its host
	SlowBy   float64    // factor on its times; 0: not told

	Appeared time.Time // when the first entry of this life was read
	Seen     time.Time // when the entry was read
	// LapsedUntil is when the endpoint is taken as gone whose entry is missing,
	// maybe only because the store was away. It is zero while there is an entry.
	LapsedUntil time.Time
}

// Lapsed reports whether the entry is missing.
func (e *Endpoint) Lapsed() bool { return !e.LapsedUntil.IsZero() }

// Usable reports whether new work may be given to the endpoint.
func (e *Endpoint) Usable() bool { return !e.Draining }

// Holds reports whether a model lies on the endpoint's host.
func (e *Endpoint) Holds(model string) bool { return slices.Contains(e.Staged, model) }
