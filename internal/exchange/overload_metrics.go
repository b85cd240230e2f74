package exchange

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/plantainmux/plantainmux/internal/overload"
)

// modelKey identifies a model of a service.
type modelKey struct{ service, model string }

// overloadMetrics holds the metrics of the decisions for one model. They are kept, since a
// look-up by name for each request would cost more than the decision.
type overloadMetrics struct {
	load, demand, capacity       *metrics.Gauge
	unlimited, admitted, refused *metrics.Counter
}

func newOverloadMetrics(set *metrics.Set, key modelKey) *overloadMetrics {
	gauge := func(name string) *metrics.Gauge {
		return set.GetOrCreateGauge(fmt.Sprintf(`plantainmux_overload_%s{service=%q,model=%q}`, name, key.service, key.model), nil)
	}
	counter := func(result string) *metrics.Counter {
		return set.GetOrCreateCounter(fmt.Sprintf(`plantainmux_overload_decisions_total{service=%q,model=%q,result=%q}`, key.service, key.model, result))
	}
	return &overloadMetrics{
		load: gauge("load"), demand: gauge("demand"), capacity: gauge("capacity"),
		unlimited: counter("unlimited"), admitted: counter("admitted"), refused: counter("refused"),
	}
}

// decided records a decision for a model. Those that were not computed are left out.
func (m *Metrics) decided(key modelKey, d overload.Decision) {
	if d.Capacity == 0 {
		return
	}
	known, ok := m.overload.Load(key)
	if !ok {
		known, _ = m.overload.LoadOrStore(key, newOverloadMetrics(m.set, key))
	}
	o := known.(*overloadMetrics)
	o.load.Set(d.Load)
	o.demand.Set(d.Demand)
	o.capacity.Set(d.Capacity)
	switch {
	case !d.Limited:
		o.unlimited.Inc()
	case d.Admit:
		o.admitted.Inc()
	default:
		o.refused.Inc()
	}
}
