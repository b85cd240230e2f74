package gateway

import (
	"strconv"
	"time"

	"github.com/plantainmux/plantainmux/internal/rendezvous"
	"github.com/plantainmux/plantainmux/internal/suspect"
)

const (
	minCrashConfirmation = 500 * time.Millisecond // longer than a pass and the gossip between a few daemons
	crashNewsMargin      = 300 * time.Millisecond // a pass of a group that goes on, added to the delay of gossip
	crashReviewPeriod    = 5 * time.Second        // after a crash, during which an event of its group clears it
	eventTimeTolerance   = 200 * time.Millisecond // error of the time of an event that another daemon tells of
)

// crashConfirmation returns how long a crash is known before it counts: within that time the
// daemons hear of events of a group that goes on.
func (g *Gateway) crashConfirmation() time.Duration {
	return max(minCrashConfirmation, g.gossip.Delay()+crashNewsMargin)
}

// ownsTrial reports whether this daemon may let a refused request through as a trial.
func (g *Gateway) ownsTrial(trait suspect.Trait) bool {
	return rendezvous.Chosen(trait.String(), g.dutyDaemons(time.Now()), 1, g.settings.Node)
}

// reviewCrashes clears the crashes of groups that have sent events since: their connections broke,
// but they did not crash. It logs the prompt parts that are refused from now on, and no longer.
func (g *Gateway) reviewCrashes(now time.Time) {
	meters := *g.metersByHash.Load()
	for key, at := range g.suspects.Crashed(now.Add(-crashReviewPeriod)) {
		if meter := meters[uint32(key.Group)]; meter != nil && meter.EventSince(at.Add(eventTimeTolerance)) {
			g.suspects.ClearGroup(key, now)
		}
	}
	refused := g.suspects.Review(now)
	for part, crashes := range refused {
		if _, known := g.refusedParts[part]; !known {
			g.metrics.GetOrCreateCounter(`plantainmux_suspect_parts_refused_total`).Inc()
			g.logger.Warn("prompt part is refused: endpoints crash on it", "part", strconv.FormatUint(part, 16), "crashes", crashes)
		}
	}
	for part := range g.refusedParts {
		if _, still := refused[part]; !still {
			g.logger.Info("prompt part is no longer refused", "part", strconv.FormatUint(part, 16))
		}
	}
	g.refusedParts = refused
}
