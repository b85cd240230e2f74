package exchange

import (
	"log/slog"
	"time"

	"github.com/plantainmux/plantainmux/internal/placement"
)

// Dependencies are what an exchanger works with.
type Dependencies struct {
	View      func() *placement.View
	Transport Transport
	Zone      string               // data centre of the daemon
	Daemons   func() int           // live ones, this one included
	Delay     func() time.Duration // by which this daemon hears of the others' requests
	Killers   *Killers             // requests that crashed what ran them
	Returns   *Returns             // requests whose callers come back
	Metrics   *Metrics
	Logger    *slog.Logger
	Retries   RetryBounds
	BodyLimit int64 // bytes of an answer that is passed on as a whole
	// Doubt is told of a group that has fallen silent or said that a member is
	// missing; fault names the member, empty if unknown. An early doubt is no
	// more than a reason to ask the members.
	Doubt func(target *placement.Target, fault string, early bool)
}
