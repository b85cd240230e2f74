// Package metric names and registers every metric of a daemon.
package metric

import (
	"fmt"
	"io"

	"github.com/VictoriaMetrics/metrics"

	"github.com/plantainmux/plantainmux/internal/refusal"
)

// Set holds the metrics of one daemon.
type Set struct {
	set      *metrics.Set
	refusals map[refusal.Reason]*metrics.Counter
}

// NewSet registers a counter for each reason of a refusal, so that each shows
// from the start.
func NewSet() *Set {
	s := &Set{set: metrics.NewSet(), refusals: map[refusal.Reason]*metrics.Counter{}}
	for _, reason := range refusal.Reasons {
		s.refusals[reason] = s.set.NewCounter(fmt.Sprintf(`plantainmux_refusals_total{reason=%q}`, reason))
	}
	return s
}

// Refused counts a refusal.
func (s *Set) Refused(reason refusal.Reason) {
	if counter, ok := s.refusals[reason]; ok {
		counter.Inc()
	}
}

// Counter returns the counter of a name, registering it when needed.
func (s *Set) Counter(name string) *metrics.Counter {
	return s.set.GetOrCreateCounter(name)
}

// Gauge registers a gauge that reads its value from f.
func (s *Set) Gauge(name string, f func() float64) {
	s.set.GetOrCreateGauge(name, f)
}

// Histogram returns the histogram of a name, registering it when needed.
func (s *Set) Histogram(name string) *metrics.Histogram {
	return s.set.GetOrCreateHistogram(name)
}

// Write writes all metrics in the Prometheus text format.
func (s *Set) Write(w io.Writer) {
	s.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}
