package gateway

import "github.com/plantainmux/plantainmux/internal/delivery"

// monitorDelivery has reported what is under way, and what is lost of it.
func (g *Gateway) monitorDelivery() {
	gauge := func(name string, value func() float64) { g.metrics.NewGauge(name, value) }
	g.delivery = delivery.NewMonitor(g.adapters.Delivery, gauge, g.metrics.GetOrCreateCounter, g.logger)
}

// withdrawFromUnused takes back what is under way to addresses at which no endpoint takes requests any more.
func (g *Gateway) withdrawFromUnused() {
	used := map[string]bool{}
	for _, endpoint := range g.registry.Load().ByID {
		if endpoint.Usable() {
			used[endpoint.Address] = true
		}
	}
	g.delivery.WithdrawFromUnused(used)
}
