package gateway

import (
	"fmt"
	"time"

	"github.com/plantainmux/plantainmux/internal/evacuation"
	"github.com/plantainmux/plantainmux/internal/keyed"
)

func (g *Gateway) buildEvacuations() {
	g.evacuations = evacuation.NewSet(g.adapters.Topics.EvacuationPrefix)
	g.metrics.NewGauge(`plantainmux_evacuated_data_centres`, func() float64 { return float64(g.evacuatedInView.Load()) })
}

// applyEvacuations applies a batch of the operators' topic. It is called before the configuration
// of the batch is applied, so that a daemon that starts knows the evacuations before it is ready.
func (g *Gateway) applyEvacuations(batch keyed.Batch) {
	prefix := g.adapters.Topics.EvacuationPrefix
	for _, record := range batch.Records {
		if prefix != "" && record.Key == prefix && record.Value != nil {
			g.metrics.GetOrCreateCounter(`plantainmux_evacuations_ignored_total`).Inc()
			g.logger.Warn("evacuation without the name of a data centre ignored", "offset", record.Offset)
		}
	}
	now := time.Now()
	changes := g.evacuations.Apply(batch, now)
	g.applyEvacuationChanges(changes, "store_read_ms_ago", now.Sub(batch.StoreReadAt).Milliseconds())
}

// mergeEvacuations applies what another daemon tells.
func (g *Gateway) mergeEvacuations(reports []evacuation.Report, now time.Time) {
	g.applyEvacuationChanges(g.evacuations.Merge(reports, now))
}

// settleEvacuations applies what holds once the knowledge from before a restore of the store is over.
func (g *Gateway) settleEvacuations(now time.Time) {
	g.applyEvacuationChanges(g.evacuations.Settle(now))
}

// applyEvacuationChanges counts and logs changes, and rebuilds the view. Further fields of the lines
// tell of their source.
func (g *Gateway) applyEvacuationChanges(changes []evacuation.Change, more ...any) {
	if len(changes) == 0 {
		return
	}
	for _, change := range changes {
		g.metrics.GetOrCreateCounter(fmt.Sprintf(`plantainmux_evacuation_changes_total{change=%q,source=%q}`, change.Kind, change.Source)).Inc()
		fields := append([]any{
			"data_centre", change.DataCentre, "source", change.Source, "offset", change.Position.Offset, "era", change.Position.Era,
		}, more...)
		switch change.Kind {
		case evacuation.Started:
			g.logger.Warn("data centre evacuated", fields...)
		case evacuation.Ended:
			g.logger.Warn("evacuation of data centre withdrawn", fields...)
		default:
			g.logger.Warn("restored store contradicts evacuation; keeping what is known", append(fields, "hold_ms", evacuation.HoldPeriod.Milliseconds())...)
		}
	}
	g.changed()
}
