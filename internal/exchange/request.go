package exchange

import (
	"net/http"
	"time"

	"github.com/plantainmux/plantainmux/internal/catalog"
	"github.com/plantainmux/plantainmux/internal/locality"
)

// Request is an authorized request of a caller.
type Request struct {
	ID           string
	Method       string
	Target       string // path and query as sent by the caller
	Host         string
	Header       http.Header // forwarded unchanged
	Body         []byte
	Route        *catalog.Route
	Service      *catalog.Service
	Team         string   // empty: no team
	Priority     int      // 0 is the most urgent
	Model        string   // empty for a plain service
	PromptTokens int      // 0 for a plain service, or if the caller did not state it
	OutputTokens int      // the caller's estimate; 0 for a plain service, or if the caller did not state it
	PromptParts  []uint64 // IDs of the parts of the prompt that other requests may share, in order
	LastEvent    string   // ID of the event after which the stream resumes; empty: from the start
	Fingerprint  uint64   // hash of path, team and body
	Arrived      time.Time
	Deadline     time.Time
	// Allowed are the regions in which the request may be handled, by the configuration in force
	// at its arrival; nil: all.
	Allowed *locality.Allowed
	Late    bool // an earlier run ended without an answer, so the latency target is already missed
}

// overdue reports whether an answer without an event will be late: the request was refused before, or its
// latency target has passed.
func (r *Request) overdue(now time.Time) bool {
	target := r.Route.LatencyTarget
	return r.refusedBefore() || target > 0 && now.Sub(r.Arrived) > target
}

// refusedBefore reports whether the request was refused before. Requests without a body have one
// fingerprint in common, so that it does not tell that this one was.
func (r *Request) refusedBefore() bool { return r.Late && len(r.Body) > 0 }
