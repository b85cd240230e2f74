package gateway

import (
	"fmt"

	"github.com/plantainmux/plantainmux/internal/delivery"
)

// reportUndelivered has connections reported that are closed before all that was written to them has been
// acknowledged, and registers gauges for what is under way.
func (g *Gateway) reportUndelivered() {
	for _, to := range []delivery.Peer{delivery.Endpoints, delivery.Workers, delivery.Daemons, delivery.Store} {
		g.metrics.NewGauge(fmt.Sprintf("plantainmux_unacknowledged_bytes{to=%q}", to), func() float64 { return float64(g.adapters.Delivery.Unacknowledged(to)) })
	}
	g.adapters.Delivery.Report(func(u delivery.Undelivered) {
		g.count(fmt.Sprintf("plantainmux_closed_undelivered_total{to=%q}", u.To))
		g.logger.Info("connection closed with unacknowledged bytes", "to", u.To, "address", u.Address, "unacknowledged_bytes", u.Bytes)
	})
}

// withdrawFromUnused takes back what is under way to addresses at which no endpoint takes requests any more.
func (g *Gateway) withdrawFromUnused() {
	used := map[string]bool{}
	for _, endpoint := range g.registry.Load().ByID {
		if endpoint.Usable() {
			used[endpoint.Address] = true
		}
	}
	if count := g.adapters.Delivery.WithdrawStalled(delivery.Endpoints, func(address string) bool { return !used[address] }); count > 0 {
		g.withdrawnConnections.Add(count)
		g.logger.Info("connections to endpoints that have left were reset over what had not arrived", "connections", count)
	}
}
