package registry

import (
	"math"
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

	ColdStated      bool    // the entry says for how long the endpoint stays cold
	ColdRemainingMS float64 // that time in ms, not checked

	FirstSeen time.Time // when the first entry of this incarnation was read
	LastSeen  time.Time // when the latest entry was read
	// LapsedUntil is when an endpoint without an entry is removed. The entry may be
	// missing only because of a store outage. It is zero while there is an entry.
	LapsedUntil time.Time
	LapsedAt    time.Time // when the entry was found missing
	// ColdUntil is the latest time until which entries of this incarnation have said that it is cold.
	// It is counted from when this daemon read them, which is no earlier than when they were written.
	ColdUntil time.Time
	ColdError error // why the time in the latest entry is ignored; nil: it is used, or there is none
	// AppearedAt is when this daemon first read an entry of this incarnation, zero if it was there at
	// the first read: how long it had been running then is not known.
	AppearedAt time.Time
}

// Lapsed reports whether the entry is missing.
func (e *Endpoint) Lapsed() bool { return !e.LapsedUntil.IsZero() }

// slowdownTolerance is the change of the slowdown factor that is no news.
const slowdownTolerance = 0.1

// Same reports whether two entries of an endpoint say the same, but for the count of entries and
// the times at which they were read.
func (e *Endpoint) Same(other *Endpoint) bool {
	a, b := *e, *other
	if math.Abs(a.Slowdown-b.Slowdown) > slowdownTolerance || !slices.Equal(a.Staged, b.Staged) {
		return false
	}
	if a.ColdRemainingMS > 0 || b.ColdRemainingMS > 0 || a.ColdStated != b.ColdStated {
		return false // the time counts from when the entry is read
	}
	return a.ID == b.ID && a.Service == b.Service && a.Address == b.Address && a.DataCentre == b.DataCentre && a.Domain == b.Domain &&
		a.Slots == b.Slots && a.Draining == b.Draining && a.Incarnation == b.Incarnation && a.Group == b.Group && a.Model == b.Model
}

// Usable reports whether the endpoint accepts new work.
func (e *Endpoint) Usable() bool { return !e.Draining }

// HasStaged reports whether a model is stored on the endpoint's host.
func (e *Endpoint) HasStaged(model string) bool { return slices.Contains(e.Staged, model) }
