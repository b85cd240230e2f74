package exchange

import (
	"log/slog"
	"time"

	"github.com/plantainmux/plantainmux/internal/placement"
)

// Dependencies are the collaborators and settings of an Exchanger.
type Dependencies struct {
	View      func() *placement.View
	Transport Transport
	Zone      string               // data centre of the daemon
	Daemons   func() int           // number of live daemons, including this one
	Delay     func() time.Duration // delay with which this daemon learns of the others' requests
	Killers   *Killers             // requests that crashed endpoints
	Returns   *Returns             // requests that ended without an answer and may be retried by their callers
	Metrics   *Metrics
	Logger    *slog.Logger
	Retries   RetryBounds
	BodyLimit int64 // maximum size in bytes of an answer that is buffered
	// Doubt is called for a group that stopped responding or reported that a
	// member is missing; fault is the ID of the member, empty if unknown. If early
	// is true, the only consequence is a health check of the members.
	Doubt func(target *placement.Target, fault string, early bool)
}
