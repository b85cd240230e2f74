package logstream

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/plantainmux/plantainmux/internal/metric"
)

// counters are the metrics of one stream.
type counters struct {
	appends     *metrics.Counter // appends that succeeded
	failed      *metrics.Counter // failed appends known to have had no effect
	limited     *metrics.Counter // appends rejected by the log's rate limit
	unknown     *metrics.Counter // appends with an unknown outcome
	records     *metrics.Counter // records applied
	ignored     *metrics.Counter // duplicate or undecodable records
	fences      *metrics.Counter
	snapshots   *metrics.Counter // proposed by this daemon
	divergences *metrics.Counter // snapshots that differ from the local state
	refused     *metrics.Counter // reads in which the log contradicted the applied records
}

func newCounters(set *metric.Set, stream string) counters {
	counter := func(name string) *metrics.Counter {
		return set.Counter(fmt.Sprintf("plantainmux_log_%s_total{stream=%q}", name, stream))
	}
	return counters{
		appends:     counter("appends"),
		failed:      counter("appends_failed"),
		limited:     counter("appends_limited"),
		unknown:     counter("appends_unknown"),
		records:     counter("records"),
		ignored:     counter("records_ignored"),
		fences:      counter("fences"),
		snapshots:   counter("snapshots"),
		divergences: counter("divergences"),
		refused:     counter("refused_reads"),
	}
}

func gaugeRefused(stream string) string {
	return fmt.Sprintf("plantainmux_log_refused{stream=%q}", stream)
}
