package formation

import (
	"github.com/plantainmux/plantainmux/internal/catalog"
	"github.com/plantainmux/plantainmux/internal/demand"
)

// idleUtilisation is the utilisation of the busiest model below which the configured shares apply:
// the mean over 8 s then stems from a few requests per group.
const idleUtilisation = 0.05

// updateNeeds works out the number of groups that the demand for each model fills: the smoothed demand
// or, after a recent evacuation, that of the present. If no request has arrived for a moment then, the
// smoothed demand counts, as a plan by the configured shares would dissolve groups.
func (p *planner) updateNeeds() {
	smoothed := p.in.Demand[p.service.Name]
	if p.demand = p.presentDemand(); p.demand != nil {
		p.needs = p.neededGroups()
	}
	if p.demand == nil || p.needs == nil {
		p.demand = smoothed
		p.needs = p.neededGroups()
	}
}

// presentDemand returns the demand of the present by model, nil if it is not what counts.
func (p *planner) presentDemand() map[string]demand.Total {
	if p.in.PresentDemand == nil || !p.evacuation().Recent() {
		return nil
	}
	present := map[string]demand.Total{}
	for _, model := range p.service.Models {
		present[model.Name] = p.in.PresentDemand(p.service.Name, model.Name)
	}
	return present
}

// neededGroups returns the number of groups that the demand for each model fills, nil if the demand or
// the capacity of a group is not known, or the demand is too small to tell.
func (p *planner) neededGroups() map[string]float64 {
	if p.in.BeforeTraffic || p.demand == nil || p.service.Performance == nil {
		return nil
	}
	needs := map[string]float64{}
	busiest := 0.0
	for i := range p.service.Models {
		model := &p.service.Models[i]
		requests := p.demand[model.Name].RequestsPerS
		if requests <= 0 {
			needs[model.Name] = 0
			continue
		}
		capacity := p.capacity(model)
		if capacity <= 0 {
			return nil
		}
		needs[model.Name] = requests / capacity
		busiest = max(busiest, needs[model.Name]/float64(max(p.groupCounts[model.Name], 1)))
	}
	if busiest < idleUtilisation {
		return nil
	}
	return needs
}

// capacity returns the requests per second that a group of a model completes.
func (p *planner) capacity(model *catalog.Model) float64 {
	prompt, output := p.demand[model.Name].MeanTokens()
	return p.service.Performance.GroupCapacity(model, prompt, output)
}

// endpointWeight returns what the number of a model's endpoints is compared by: the endpoints that
// the demand needs or, if it is not known, the configured share.
func (p *planner) endpointWeight(model *catalog.Model) float64 {
	if p.needs != nil {
		return max(p.needs[model.Name]*float64(model.GroupSize), minShare)
	}
	return max(model.Share, minShare)
}

// groupWeight returns what the groups of a model carry together: the groups that the demand needs
// or, if it is not known, the configured share.
func (p *planner) groupWeight(model *catalog.Model) float64 {
	if p.needs != nil {
		return p.needs[model.Name]
	}
	return model.Share
}
