package exchange

import (
	"net/http"
	"time"

	"github.com/plantainmux/plantainmux/internal/catalog"
)

// Request is a request that was authorized.
type Request struct {
	ID          string
	Method      string
	Target      string // path and query, as the caller sent them
	Host        string
	Header      http.Header // what is passed on as it is
	Body        []byte
	Route       *catalog.Route
	Service     *catalog.Service
	Team        string // empty: no team
	Urgency     int    // 0 is the most urgent
	Model       string // empty for a plain service
	Prompt      int    // tokens; 0 for a plain service, or if the caller did not say
	LastEvent   string // the event after which a stream goes on; empty: from its beginning
	Fingerprint uint64 // of path, team and body: equal requests have equal ones
	Arrived     time.Time
	Deadline    time.Time
	Late        bool // it ended without an answer before, so that its objective cannot be met any more
}
