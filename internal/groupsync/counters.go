package groupsync

import (
	"github.com/VictoriaMetrics/metrics"

	"github.com/plantainmux/plantainmux/internal/metric"
)

// syncCounters are the metrics of Sync.
type syncCounters struct {
	adopted  *metrics.Counter // states adopted from peers
	served   *metrics.Counter // states sent to peers
	failures *metrics.Counter // states that could not be fetched or adopted
}

func newSyncCounters(set *metric.Set) syncCounters {
	return syncCounters{
		adopted:  set.Counter("plantainmux_group_states_adopted_total"),
		served:   set.Counter("plantainmux_group_states_served_total"),
		failures: set.Counter("plantainmux_group_state_failures_total"),
	}
}
