package order

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/plantainmux/plantainmux/internal/metric"
)

// Metrics counts what became of orders.
type Metrics struct {
	ran           *metrics.Counter
	notRun        *metrics.Counter
	unclear       *metrics.Counter
	repeats       *metrics.Counter
	passedOn      *metrics.Counter
	doubts        *metrics.Counter
	claimDuration *metrics.Histogram
}

// NewMetrics registers the metrics of orders.
func NewMetrics(set *metric.Set) *Metrics {
	return &Metrics{
		ran:           set.Counter(`plantainmux_orders_total{outcome="ran"}`),
		notRun:        set.Counter(`plantainmux_orders_total{outcome="not_run"}`),
		unclear:       set.Counter(`plantainmux_orders_total{outcome="unclear"}`),
		repeats:       set.Counter(`plantainmux_order_repeats_total`),
		passedOn:      set.Counter(`plantainmux_orders_passed_on_total`),
		doubts:        set.Counter(`plantainmux_order_doubts_total`),
		claimDuration: set.Histogram(`plantainmux_order_claim_seconds`),
	}
}

func (m *Metrics) claimed(took time.Duration) {
	m.claimDuration.Update(took.Seconds())
}
