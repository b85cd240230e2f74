package logstream

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/plantainmux/plantainmux/internal/metric"
)

// counters are the metrics of one stream.
type counters struct {
	appends     *metrics.Counter // taken by the log
	failed      *metrics.Counter // proved not taken
	limited     *metrics.Counter // over the log's rate
	unknown     *metrics.Counter // answers lost
	records     *metrics.Counter // applied
	ignored     *metrics.Counter // repeated or unreadable records
	fences      *metrics.Counter
	snapshots   *metrics.Counter // proposed by this daemon
	divergences *metrics.Counter // snapshots that differ from the own state
	refused     *metrics.Counter // reads of a log that contradicts what was applied
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
