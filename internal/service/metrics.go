package service

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/plantainmux/plantainmux/internal/metric"
	"github.com/plantainmux/plantainmux/internal/retry"
)

// Metrics are the counters of calls to services and their retries.
type Metrics struct {
	calls     *metrics.Counter
	exhausted *metrics.Counter
	retries   map[retry.Reason]*metrics.Counter
}

// NewMetrics registers the counters, one of them for each retry reason.
func NewMetrics(set *metric.Set) *Metrics {
	m := &Metrics{
		calls:     set.Counter("plantainmux_service_calls_total"),
		exhausted: set.Counter("plantainmux_service_retry_budget_exhausted_total"),
		retries:   map[retry.Reason]*metrics.Counter{},
	}
	for _, reason := range retry.Reasons {
		m.retries[reason] = set.Counter(fmt.Sprintf(`plantainmux_service_retries_total{reason=%q}`, reason))
	}
	return m
}
