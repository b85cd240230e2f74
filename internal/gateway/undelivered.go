package gateway

import (
	"fmt"

	"github.com/plantainmux/plantainmux/internal/delivery"
)

// reportUndelivered has connections reported that are closed before all that was written to them has been
// acknowledged, and registers gauges for what is under way.
func (g *Gateway) reportUndelivered() {
	for _, to := range []delivery.Peer{delivery.Endpoints, delivery.Daemons, delivery.Store} {
		g.metrics.NewGauge(fmt.Sprintf("plantainmux_unacknowledged_bytes{to=%q}", to), func() float64 { return float64(g.adapters.Delivery.Unacknowledged(to)) })
	}
	g.adapters.Delivery.Report(func(u delivery.Undelivered) {
		g.count(fmt.Sprintf("plantainmux_closed_undelivered_total{to=%q}", u.To))
		g.logger.Info("connection closed with unacknowledged bytes", "to", u.To, "address", u.Address, "unacknowledged_bytes", u.Bytes)
	})
}
