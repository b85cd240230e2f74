package config

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/plantainmux/plantainmux/internal/metric"
)

// spreadCounters holds the counters of a Spread.
type spreadCounters struct {
	applied   map[Source]*metrics.Counter // versions that came into force, by source
	served    *metrics.Counter            // configurations sent to peers
	failures  *metrics.Counter            // failed fetches from peers
	conflicts *metrics.Counter            // notices with the version in force but another digest
}

func newSpreadCounters(set *metric.Set, store *Store) spreadCounters {
	set.Gauge("plantainmux_config_version", func() float64 { return float64(store.Load().Version) })
	set.Gauge("plantainmux_config_took_seconds", func() float64 { return store.Load().Took().Seconds() })
	applied := map[Source]*metrics.Counter{}
	for _, source := range []Source{FromLog, FromPeer} {
		applied[source] = set.Counter(fmt.Sprintf("plantainmux_config_applied_total{source=%q}", source))
	}
	return spreadCounters{
		applied:   applied,
		conflicts: set.Counter("plantainmux_config_conflicts_total"),
		served:    set.Counter("plantainmux_config_served_total"),
		failures:  set.Counter("plantainmux_config_fetch_failures_total"),
	}
}
