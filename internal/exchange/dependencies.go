package exchange

import (
	"context"
	"log/slog"
	"time"

	"github.com/plantainmux/plantainmux/internal/demand"
	"github.com/plantainmux/plantainmux/internal/dispatch"
	"github.com/plantainmux/plantainmux/internal/heldbytes"
	"github.com/plantainmux/plantainmux/internal/locality"
	"github.com/plantainmux/plantainmux/internal/overload"
	"github.com/plantainmux/plantainmux/internal/placement"
	"github.com/plantainmux/plantainmux/internal/suspect"
)

// Dependencies are the collaborators and settings of an Exchanger.
type Dependencies struct {
	View        func() *placement.View
	Transport   Transport
	DataCentre  string               // of the daemon
	Daemons     func() int           // number of live daemons, including this one
	GossipDelay func() time.Duration // delay with which this daemon learns of the others' requests
	Counter     *demand.Counter      // counts what callers ask for; nil: not counted
	// Demand returns the demand for a model of a service over all daemons; nil: not known, so that
	// nothing is refused because of it.
	Demand func(service, model string) overload.Demand
	// Dispatch asks the dispatcher of the data centre which target takes a request. excluded returns the
	// keys of the targets that this daemon may not use now, and whether there are any others; nil:
	// this daemon chooses by itself.
	Dispatch func(ctx context.Context, req *Request, excluded func() (keys []string, others bool)) dispatch.Outcome
	// CallerLeft reports whether the caller whose context it is has closed its connection, also if the
	// context has not ended yet; nil: not known.
	CallerLeft func(ctx context.Context) bool
	Held       *heldbytes.Account // counts and limits what is held for exchanges; nil: not limited
	// SlowReaderTimeout is how long a caller may take nothing while the daemon holds as much of its
	// stream as it may; 0: 10 s.
	SlowReaderTimeout time.Duration
	Suspects          *suspect.Table  // requests and prompt parts that crashed endpoints
	FailedRequests    *FailedRequests // requests that ended without an answer and may be retried by their callers
	Metrics           *Metrics
	Logger            *slog.Logger
	Retries           RetryBounds
	BodyLimit         int64                          // maximum size in bytes of an answer that is buffered
	OwnsTrial         func(trait suspect.Trait) bool // whether this daemon may let a refused request through as a trial
	Regions           locality.Regions               // of the data centres
	// Forwards reports whether attempts of a request that may be handled in some regions go through
	// another daemon, as this one is cut off from the endpoints. What an attempt then takes too long
	// for is no sign against its target; nil: never.
	Forwards func(allowed *locality.Allowed) bool
	// ReportSuspect is called for a group that stopped responding or reported that a
	// member is missing; missingMember is the ID of the member, empty if unknown. If
	// tentative is true, the only consequence is a health check of the members.
	ReportSuspect func(target *placement.Target, missingMember string, tentative bool)
}
