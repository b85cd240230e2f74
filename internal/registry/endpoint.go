package registry

import (
	"slices"
	"time"
)

// Endpoint is the latest registry entry of one endpoint.
type Endpoint struct {
	ID          string
	Service     string
	Address     string // IP and port
	DataCentre  string
	Domain      string // fabric domain; empty for a plain service
	Slots       int    // maximum number of concurrent requests
	Draining    bool
	Incarnation int64      // start time of the incarnation, Unix milliseconds
	Sequence    int64      // rises with the entries that an incarnation writes
	Group       Membership // zero value if the endpoint is in no group
	Model       string     // model of its last group in this incarnation
	Staged      []string   // models stored on its host
	Slowdown    float64    // slowdown factor; 1 is normal speed, 0 means not reported

	FirstSeen time.Time // when the first entry of this incarnation was read
	LastSeen  time.Time // when the latest entry was read
	// LapsedUntil is when an endpoint without an entry is removed. The entry may be
	// missing only because of a store outage. It is zero while there is an entry.
	LapsedUntil time.Time
}

// Lapsed reports whether the entry is missing.
func (e *Endpoint) Lapsed() bool { return !e.LapsedUntil.IsZero() }

// olderThan reports whether the entry is an earlier one of the same incarnation.
func (e *Endpoint) olderThan(other *Endpoint) bool {
	return e.Incarnation == other.Incarnation && e.Sequence < other.Sequence
}

// Usable reports whether the endpoint accepts new work.
func (e *Endpoint) Usable() bool { return !e.Draining }

// HasStaged reports whether a model is stored on the endpoint's host.
func (e *Endpoint) HasStaged(model string) bool { return slices.Contains(e.Staged, model) }
