package order

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/plantainmux/plantainmux/internal/metric"
)

// Metrics are the counters of order outcomes and the histogram of claim latency.
type Metrics struct {
	ran           *metrics.Counter
	notRun        *metrics.Counter
	unclear       *metrics.Counter
	repeats       *metrics.Counter
	forwarded     *metrics.Counter
	markedUnclear *metrics.Counter
	claimDuration *metrics.Histogram
}

// NewMetrics registers the metrics of orders.
func NewMetrics(set *metric.Set) *Metrics {
	return &Metrics{
		ran:           set.Counter(`plantainmux_orders_total{outcome="ran"}`),
		notRun:        set.Counter(`plantainmux_orders_total{outcome="not_run"}`),
		unclear:       set.Counter(`plantainmux_orders_total{outcome="unclear"}`),
		repeats:       set.Counter(`plantainmux_order_repeats_total`),
		forwarded:     set.Counter(`plantainmux_orders_passed_on_total`),
		markedUnclear: set.Counter(`plantainmux_order_doubts_total`),
		claimDuration: set.Histogram(`plantainmux_order_claim_seconds`),
	}
}

func (m *Metrics) observeClaim(took time.Duration) {
	m.claimDuration.Update(took.Seconds())
}
