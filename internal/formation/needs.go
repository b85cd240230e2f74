package formation

import (
	"github.com/plantainmux/plantainmux/internal/catalog"
	"github.com/plantainmux/plantainmux/internal/demand"
)

// idleUtilisation is the utilisation of the busiest model below which the configured shares apply:
// the mean over 8 s then stems from a few requests per group.
const idleUtilisation = 0.05

// updateNeeds works out the number of groups that the demand for each model fills. It leaves needs
// nil if the demand or the capacity of a group is not known.
func (p *planner) updateNeeds() {
	p.needs = nil
	if p.in.BeforeTraffic || p.in.Demand[p.service.Name] == nil || p.service.Performance == nil {
		return
	}
	needs := map[string]float64{}
	busiest := 0.0
	for i := range p.service.Models {
		model := &p.service.Models[i]
		requests := p.demandFor(model.Name).RequestsPerS
		if requests <= 0 {
			needs[model.Name] = 0
			continue
		}
		capacity := p.capacity(model)
		if capacity <= 0 {
			return
		}
		needs[model.Name] = requests / capacity
		busiest = max(busiest, needs[model.Name]/float64(max(p.groupCounts[model.Name], 1)))
	}
	if busiest >= idleUtilisation {
		p.needs = needs
	}
}

// demandFor returns the demand for a model by which its groups are planned: the smoothed one or, after
// a recent evacuation, that of the present.
func (p *planner) demandFor(model string) demand.Total {
	if p.in.PresentDemand != nil && p.evacuation().Recent() {
		return p.in.PresentDemand(p.service.Name, model)
	}
	return p.in.Demand[p.service.Name][model]
}

// capacity returns the requests per second that a group of a model completes.
func (p *planner) capacity(model *catalog.Model) float64 {
	prompt, output := p.demandFor(model.Name).MeanTokens()
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
