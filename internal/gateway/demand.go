package gateway

import (
	"fmt"
	"time"

	"github.com/plantainmux/plantainmux/internal/catalog"
	"github.com/plantainmux/plantainmux/internal/demand"
	"github.com/plantainmux/plantainmux/internal/formation"
	"github.com/plantainmux/plantainmux/internal/overload"
	"github.com/plantainmux/plantainmux/internal/placement"
)

// observeDemand smooths the demand of the fleet. While this daemon hears from too few others, it
// forgets it, and plans by the configured shares: what it knows is the demand of a part of the
// fleet.
func (g *Gateway) observeDemand(now time.Time) {
	reports := demand.Sum(g.demand.Reports(now), g.gossip.Demand(now))
	g.fleetDemand.Store(&reports)
	current := g.catalogs.Load()
	if current == nil {
		return
	}
	known := g.daemons.Synced() && g.gossip.HearsMajority(now)
	if g.demandKnown.Swap(known) != known {
		g.count(fmt.Sprintf(`plantainmux_demand_known_changes_total{known="%t"}`, known))
		g.logger.Info("use of the demand for the plan changed", "known", known, "live", g.liveDaemons(), "registrations_read", g.daemons.Synced())
	}
	if !known {
		g.smoothedDemand.Reset()
		return
	}
	for name, service := range current.Services {
		if !service.Grouped() || !service.RanksRoutes {
			continue
		}
		totals := map[string]demand.Total{}
		for i := range service.Models {
			totals[service.Models[i].Name] = demand.TotalOf(reports, name, service.Models[i].Name)
		}
		g.smoothedDemand.Observe(name, totals, now)
	}
}

// plannedDemand returns the smoothed demand for the models of a service by which its groups are
// planned, nil if they are planned by the configured shares.
func (g *Gateway) plannedDemand(service string) map[string]demand.Total {
	current := g.catalogs.Load()
	if current == nil || current.Services[service] == nil || !current.Services[service].RanksRoutes {
		return nil
	}
	return g.smoothedDemand.Smoothed(service)
}

// modelDemand returns the demand of the fleet for a model, as the admission of requests needs it. A
// daemon that hears nobody knows its own only, which refuses nothing.
func (g *Gateway) modelDemand(service, model string) overload.Demand {
	total := demand.TotalOf(*g.fleetDemand.Load(), service, model)
	prompt, output := total.MeanTokens()
	return overload.Demand{ByPriority: total.ByPriority, PromptTokens: prompt, OutputTokens: output}
}

// updateDemandGauges sets the gauges of demand, capacity and groups of each model.
func (g *Gateway) updateDemandGauges() {
	current := g.catalogs.Load()
	if current == nil {
		return
	}
	for name, service := range current.Services {
		for i := range service.Models {
			g.setModelGauges(service, &service.Models[i], demand.TotalOf(*g.fleetDemand.Load(), name, service.Models[i].Name))
		}
	}
}

func (g *Gateway) setModelGauges(service *catalog.Service, model *catalog.Model, total demand.Total) {
	set := func(metric string, value float64) {
		g.metrics.GetOrCreateGauge(fmt.Sprintf(`%s{service=%q,model=%q}`, metric, service.Name, model.Name), nil).Set(value)
	}
	groups := float64(len(g.view.Load().Targets(service.Name, model.Name)))
	set("plantainmux_model_groups", groups)
	set("plantainmux_model_demand_requests_per_second", total.RequestsPerS)
	if service.Performance != nil {
		prompt, output := total.MeanTokens()
		set("plantainmux_model_capacity_requests_per_second", groups*service.Performance.GroupCapacity(model, prompt, output))
	}
}

// requestsInProgress returns the requests in progress at a group, of all daemons, as far as they
// are known.
func (g *Gateway) requestsInProgress(group string, epoch uint64) int {
	meter := g.meters.Find(placement.GroupKey(group, epoch))
	if meter == nil {
		return 0
	}
	return meter.Load()
}

// countShift counts a change of groups to another model that this daemon has planned.
func (g *Gateway) countShift(shift formation.Shift) {
	g.count(fmt.Sprintf(`plantainmux_model_changes_total{service=%q,from=%q,to=%q}`, shift.Service, shift.From, shift.To))
}
